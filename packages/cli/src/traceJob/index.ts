import { parseJson } from '@gypsumspring/protocol'
/** One line of a process's log, as far as it could be read. */
interface LogLine {
  /** In ms since 1970, by the clock of the process that wrote it. */
  time: number
  process: string
  msg: string
  fields: Record<string, unknown>
}

/** Lines about the cell as a whole that may explain a gap of any job. */
const CELL_MESSAGES: ReadonlySet<string> = new Set([
  'took the cell over', 'cell recovered', 'gave the cell up', 'lost the cell', 'the store is slow',
  'this node is too slow to own the cell', 'log lines were left out'
])

/** Lines about a worker that explain what became of the tasks there. */
const WORKER_MESSAGES: ReadonlySet<string> = new Set([
  'worker reachability changed', 'worker is draining', 'worker removed', 'tasks of a worker are lost'
])

/** Fields that every line has, or that are shown in columns of their own. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['level', 'time', 'process', 'msg', 'pid', 'hostname'])

/**
 * Tells the story of one job from the logs of all processes: its own lines, those of the workers that ran its tasks and
 * those about the owner of the cell and the store meanwhile, in order of time, and the longest gap between its own.
 *
 * @param id - Id of the job.
 * @param lines - Lines of the logs in any order; text before the JSON of a line is left out.
 * @returns Lines for a reader, with seconds since the first one; empty when no line names the job.
 *
 * @example
 * traceJob('5f318347285e22fd', readFileSync('node-1.log', 'utf8').split('\n'))
 */
export function traceJob (id: string, lines: readonly string[]): string[] {
  const parsed = lines.flatMap((line) => parseLine(line) ?? []).sort((a, b) => a.time - b.time)
  const own = parsed.filter((line) => isAbout(line, id))
  const [first] = own
  const last = own.at(-1)
  if (first === undefined || last === undefined) return []
  const workers = new Set(own.flatMap(({ fields }) => listWorkers(fields)))
  const story = parsed.filter((line) => line.time >= first.time && line.time <= last.time && (
    isAbout(line, id) || CELL_MESSAGES.has(line.msg) ||
    (WORKER_MESSAGES.has(line.msg) && workers.has(String(line.fields.worker)))))
  return [...story.map((line) => format(line, first.time, id)), ...describeGap(own, first.time)]
}

function parseLine (text: string): LogLine | undefined {
  const value = parseJson(text.slice(text.indexOf('{')))
  if (typeof value !== 'object' || value === null) return undefined
  const { time, process, msg, ...fields } = value as Record<string, unknown>
  return typeof time === 'number' && typeof process === 'string' && typeof msg === 'string'
    ? { time, process, msg, fields }
    : undefined
}

/** A line names one worker, or one for each of the runs that it tells of. */
function listWorkers ({ worker, runs }: Record<string, unknown>): string[] {
  const listed = Array.isArray(runs) ? runs.map((run: { worker?: unknown }) => run.worker) : []
  return [worker, ...listed].filter((name) => typeof name === 'string')
}

function isAbout ({ fields }: LogLine, id: string): boolean {
  return fields.job === id || (typeof fields.path === 'string' && fields.path.endsWith(`/${id}`))
}

function format ({ time, process, msg, fields }: LogLine, from: number, id: string): string {
  const shown = Object.entries(fields)
    .filter(([name, value]) => !COMMON_FIELDS.has(name) && value !== id && value !== undefined)
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
  return [`${((time - from) / 1000).toFixed(3)} s`.padStart(10), process, msg, ...shown].join('  ')
}

function describeGap (own: readonly LogLine[], from: number): string[] {
  let longest: { before: LogLine, after: LogLine, ms: number } | undefined
  for (const [index, after] of own.entries()) {
    const before = own[index - 1]
    if (before === undefined) continue
    const ms = after.time - before.time
    if (longest === undefined || ms > longest.ms) longest = { before, after, ms }
  }
  if (longest === undefined) return []
  const { before, after, ms } = longest
  const at = ((before.time - from) / 1000).toFixed(3)
  return [`longest gap: ${(ms / 1000).toFixed(3)} s from ${at} s, between '${before.msg}' and '${after.msg}'`]
}
