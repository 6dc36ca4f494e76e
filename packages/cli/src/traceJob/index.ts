import { parseLogLine, type LogLine } from '../_lib/parseLogLine/index.ts'

/** Messages about the whole cell that may explain a gap in the timeline of any job. */
const CELL_MESSAGES: ReadonlySet<string> = new Set([
  'took the cell over', 'cell recovered', 'gave the cell up', 'lost the cell', 'the store is slow',
  'this node is too slow to own the cell', 'log lines were left out'
])

/** Messages about a worker that may explain what happened to the tasks running there. */
const WORKER_MESSAGES: ReadonlySet<string> = new Set([
  'worker reachability changed', 'worker is draining', 'worker removed', 'worker has started again under its id',
  'tasks of a worker are lost'
])

/** Fields that are the same on every line or have a column of their own. */
const HIDDEN_FIELDS: ReadonlySet<string> = new Set(['level', 'time', 'process', 'msg', 'pid', 'hostname'])

/**
 * Builds the timeline of a job from the logs of all processes: its own log lines, those about the workers that ran its
 * tasks, and those about the cell owner and the store in the same period, in order of time. The last line reports the
 * longest gap between two of the job's own log lines.
 *
 * @param id - ID of the job.
 * @param lines - Log lines in any order. Text before the JSON object of a line is ignored.
 * @returns Formatted lines, each with the seconds since the first one; empty if no log line mentions the job.
 *
 * @example
 * traceJob('5f318347285e22fd', readFileSync('node-1.log', 'utf8').split('\n'))
 */
export function traceJob (id: string, lines: readonly string[]): string[] {
  const logLines = lines.flatMap((line) => parseLogLine(line) ?? []).sort((a, b) => a.time - b.time)
  const jobLines = logLines.filter((line) => isLineOfJob(line, id))
  const [first] = jobLines
  const last = jobLines.at(-1)
  if (first === undefined || last === undefined) return []
  const workers = new Set(jobLines.flatMap(({ fields }) => listWorkers(fields)))
  const timeline = logLines.filter((line) => line.time >= first.time && line.time <= last.time && (
    isLineOfJob(line, id) || CELL_MESSAGES.has(line.msg) ||
    (WORKER_MESSAGES.has(line.msg) && workers.has(String(line.fields.worker)))))
  return [...timeline.map((line) => formatLine(line, first.time, id)), ...describeLongestGap(jobLines, first.time)]
}

/** Returns the workers named by a line: its own `worker` field and that of each entry in `runs`. */
function listWorkers ({ worker, runs }: Record<string, unknown>): string[] {
  const workersOfRuns = Array.isArray(runs) ? runs.map((run: { worker?: unknown }) => run.worker) : []
  return [worker, ...workersOfRuns].filter((name) => typeof name === 'string')
}

function isLineOfJob ({ fields }: LogLine, id: string): boolean {
  return fields.job === id || (typeof fields.path === 'string' && fields.path.endsWith(`/${id}`))
}

function formatLine ({ time, process, msg, fields }: LogLine, from: number, id: string): string {
  const fieldTexts = Object.entries(fields)
    .filter(([name, value]) => !HIDDEN_FIELDS.has(name) && value !== id && value !== undefined)
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
  return [`${((time - from) / 1000).toFixed(3)} s`.padStart(10), process, msg, ...fieldTexts].join('  ')
}

function describeLongestGap (jobLines: readonly LogLine[], from: number): string[] {
  let longest: { before: LogLine, after: LogLine, ms: number } | undefined
  for (const [index, after] of jobLines.entries()) {
    const before = jobLines[index - 1]
    if (before === undefined) continue
    const ms = after.time - before.time
    if (longest === undefined || ms > longest.ms) longest = { before, after, ms }
  }
  if (longest === undefined) return []
  const { before, after, ms } = longest
  const at = ((before.time - from) / 1000).toFixed(3)
  return [`longest gap: ${(ms / 1000).toFixed(3)} s from ${at} s, between '${before.msg}' and '${after.msg}'`]
}
