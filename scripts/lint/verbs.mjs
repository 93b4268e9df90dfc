/** The verbs a function or method name may begin with; docs/STYLE.md explains each group. */
export const VERBS = [
  // questions
  'is', 'has', 'can', 'may', 'should',
  // reading and finding
  'get', 'find', 'list', 'read', 'fetch', 'peek', 'count', 'look',
  // deciding
  'choose', 'compare', 'compute', 'decide', 'divide', 'plan', 'rank', 'classify', 'estimate', 'explain', 'predict',
  // making and changing values
  'add', 'apply', 'build', 'clear', 'confirm', 'consume', 'create', 'decode', 'describe', 'encode', 'evict', 'format', 'map', 'mark', 'merge', 'parse', 'remove', 'scale',
  'set', 'sort', 'split', 'to', 'update',
  // checking
  'assert', 'check', 'expect', 'validate', 'verify',
  // acting
  'accept', 'acquire', 'admit', 'answer', 'ask', 'borrow', 'break', 'call', 'cancel', 'claim', 'close', 'delete', 'deliver', 'drain', 'end', 'exchange',
  'finish', 'fire', 'handle', 'hold', 'keep', 'fail',
  'join', 'leave', 'lend', 'listen', 'load', 'log', 'measure', 'observe', 'on', 'open', 'patch', 'pause', 'pipe', 'print', 'probe', 'publish',
  'push', 'put', 'record', 'refuse', 'register', 'release', 'renew', 'report', 'reserve', 'reset', 'resume', 'retry', 'return', 'run', 'save',
  'schedule', 'send', 'serve', 'settle', 'spawn', 'start', 'step', 'stop', 'subscribe', 'take', 'throw', 'transact', 'wait', 'watch', 'withdraw', 'write'
]
