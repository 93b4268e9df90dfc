/**
 * Enables roarr, which writes no log lines by default. Must be imported before roarr, which reads
 * the variable once while it is loaded; otherwise a daemon would not even log why it failed to
 * start. A value that is set in the environment is kept.
 */
process.env.ROARR_LOG ??= 'true'
