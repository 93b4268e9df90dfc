/** The bytes that a message of HTTP/1.1 may contain, by its parts (RFC 9110, section 5.6; RFC 9112, section 3). */

export const TAB = 9
export const LINE_FEED = 10
export const CARRIAGE_RETURN = 13
export const SPACE = 32
export const COLON = 58
export const SEMICOLON = 59

const BYTES = 256
const FIRST_VISIBLE = 33
const DELETE = 127
const TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~"

function buildTable (isMember: (byte: number) => boolean): Uint8Array {
  return Uint8Array.from({ length: BYTES }, (_, byte) => isMember(byte) ? 1 : 0)
}

/** 1 for the bytes of methods and of the names of fields. */
export const IS_TOKEN = buildTable((byte) => /[0-9a-z]/i.test(String.fromCharCode(byte)) || TOKEN_SYMBOLS.includes(String.fromCharCode(byte)))
/** 1 for the bytes of a request's target and version. */
export const IS_TARGET = buildTable((byte) => byte >= FIRST_VISIBLE && byte < DELETE)
/** 1 for the bytes of the values of fields and of chunk extensions. */
export const IS_VALUE = buildTable((byte) => byte === TAB || (byte >= SPACE && byte !== DELETE))
