import { parseLogLine, type LogLine } from '../_lib/parseLogLine/index.ts'

/** How long one job spent in each phase, in ms. */
export interface JobPhases {
  job: string
  queue: string
  /** Unix time of the end, in ms. */
  endedAt: number
  state: string
  ageMs: number
  /** Until the submission was answered, which includes storing the job. */
  accepting: number
  /** Until each step had a worker for all its tasks: advice, room and the order of placement. */
  waiting: number
  /** From there to the end of each step: the run times, failed runs, and lost answers of workers. */
  running: number
  /** The rest: storing the progress, and times without an owner of the cell. */
  other: number
}

const PHASES = ['accepting', 'waiting', 'running', 'other'] as const

/**
 * Computes from the logs of all processes how long each ended job spent in each phase.
 *
 * @param lines - Log lines in any order. Text before the JSON object of a line is ignored.
 * @returns One entry for each job whose end was logged.
 */
export function collectPhases (lines: readonly string[]): JobPhases[] {
  const byJob = new Map<string, LogLine[]>()
  for (const text of lines) {
    const line = parseLogLine(text)
    const job = line?.fields.job
    if (line === undefined || typeof job !== 'string') continue
    const known = byJob.get(job)
    if (known === undefined) byJob.set(job, [line])
    else known.push(line)
  }
  return [...byJob].flatMap(([job, jobLines]) => toPhases(job, jobLines) ?? [])
}

/**
 * Summarizes the phases of many jobs as a table with one line for each queue and each period.
 *
 * @param jobs - The jobs, as `collectPhases` returns them.
 * @param options.periodMs - Length of a period, in ms. Default: one period for all jobs.
 * @returns Lines of text; times are in ms.
 */
export function formatPhases (jobs: readonly JobPhases[], options: { periodMs?: number } = {}): string[] {
  const { periodMs = Infinity } = options
  const firstEnd = Math.min(...jobs.map(({ endedAt }) => endedAt))
  const groups = new Map<string, JobPhases[]>()
  for (const job of jobs) {
    const period = periodMs === Infinity ? 0 : Math.floor((job.endedAt - firstEnd) / periodMs) * periodMs / 1000
    const key = `${job.queue}  ${period.toFixed(1)}`
    groups.set(key, [...groups.get(key) ?? [], job])
  }
  const header = ['queue', 'from s', 'jobs', 'completed', 'median', '95%', ...PHASES].join('  ')
  const rows = [...groups].sort(([a], [b]) => a.localeCompare(b, 'en', { numeric: true }))
    .map(([key, members]) => [key, ...describeGroup(members)].join('  '))
  return [header, ...rows]
}

function describeGroup (jobs: readonly JobPhases[]): string[] {
  const ages = jobs.map(({ ageMs }) => ageMs).sort((a, b) => a - b)
  const quantile = (share: number) => ages[Math.min(ages.length - 1, Math.floor(share * ages.length))]!
  const completed = jobs.filter(({ state }) => state === 'completed').length
  const means = PHASES.map((phase) => jobs.reduce((sum, job) => sum + job[phase], 0) / jobs.length)
  return [jobs.length, completed, quantile(0.5), quantile(0.95), ...means].map((value) => value.toFixed(0))
}

function toPhases (job: string, lines: readonly LogLine[]): JobPhases | undefined {
  const end = lines.find(({ msg }) => msg === 'job ended')
  if (end === undefined) return undefined
  const ageMs = Number(end.fields.ageMs)
  const accepting = Math.max(0, ...pick(lines, 'job accepted', 'tookMs'))
  const waits = new Map<string, number>()
  for (const { msg, fields } of lines) {
    if (msg !== 'tasks placed') continue
    const step = String(fields.step)
    waits.set(step, Math.max(waits.get(step) ?? 0, Number(fields.waitedMs)))
  }
  const steps = lines.filter(({ msg }) => msg === 'step done')
  const waiting = sum([...waits.values()])
  const running = sum(steps.map(({ fields }) =>
    Math.max(0, Number(fields.tookMs) - (waits.get(String(fields.step)) ?? 0))))
  const other = Math.max(0, ageMs - accepting - waiting - running)
  const { queue, state } = end.fields
  return {
    job, queue: String(queue), endedAt: end.time, state: String(state), ageMs, accepting, waiting, running, other
  }
}

function pick (lines: readonly LogLine[], msg: string, field: string): number[] {
  return lines.filter((line) => line.msg === msg).map(({ fields }) => Number(fields[field]))
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
