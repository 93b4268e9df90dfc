/**
 * Turns roarr on; imported before roarr, which looks at the variable once, while
 * it is loaded. Without it a daemon writes no line at all, not even why it could
 * not start. Whoever sets the variable to another value keeps that.
 */
process.env.ROARR_LOG ??= 'true'
