import { sleep, type Workload } from '@gypsumspring/protocol'
import { callControl, type Cell, type EntryVm, type StartedProcess } from '@gypsumspring/standins'
import {
  applyManifest, buildManifest, readStoreCallCounts, roundToPrecision, waitUntil, withCell
} from './cellHelpers.ts'
import { measureMeanUsage, readUsage, subtractUsage } from './readUsage.ts'

const TASKS_PER_WORKER = 18
/** Leaves two slots of each worker free for the tasks of the batch run. */
const SLOTS_PER_WORKER = 20
const BATCH_TASKS_PER_WORKER = 4
const STEADY_MS = 10_000
const STEP_TIMEOUT_MS = 60_000
/** Stays below the connection backlog of a listening socket. */
const MAX_CONCURRENT_INSPECTIONS = 50

interface LogLine {
  /** Time on the clock of `Date.now()`, in ms. */
  time: number
  shard: string
  epoch: number
}

/**
 * Measures the scheduler that owns a shard while it starts all tasks of a service, in the steady state and during a
 * batch run; then measures the takeover by a standby after the owner is killed.
 *
 * @param workers - Number of workers of the shard.
 * @returns Figures of each step, of the idle standby and of the takeover.
 * @throws Error when a step takes longer than a minute.
 *
 * @example
 * await measureScheduler(50)
 */
export async function measureScheduler (workers: number): Promise<Record<string, number>> {
  return await withCell({
    entryVms: 2, workers, cpuMillis: SLOTS_PER_WORKER * 1000, memoryMb: SLOTS_PER_WORKER * 1000
  }, 1, async (cell) => {
    const tasks = workers * TASKS_PER_WORKER
    const service = makeWorkload('service-a', 'service', tasks, {})
    await applyManifest(cell, buildManifest(1), 0)
    await waitUntil('the shard has an owner', () => findOwner(cell) !== undefined, STEP_TIMEOUT_MS)
    const owner = findOwner(cell) as EntryVm
    const standby = cell.vms.find((vm) => vm !== owner) as EntryVm
    await sleep(2000)
    const emptyMb = (await readUsage(owner.scheduler.pid)).residentMb
    const fill = await measureStep(cell, owner.scheduler, async () => {
      await applyManifest(cell, buildManifest(1, [service]), 1)
      await waitUntilRunning(cell, tasks)
    })
    await sleep(2000)
    const [steady, standbyUsage] = await Promise.all([
      measureStep(cell, owner.scheduler, async () => await sleep(STEADY_MS)),
      measureMeanUsage([standby.scheduler.pid], async () => await sleep(STEADY_MS))
    ])
    const batchTasks = workers * BATCH_TASKS_PER_WORKER
    const batch = makeWorkload('batch-a', 'batch', batchTasks, { runMs: 1000 })
    const churn = await measureStep(cell, owner.scheduler, async () => {
      await applyManifest(cell, buildManifest(1, [service, batch]), 2)
      await waitUntil('the batch run has ended', () => findLine(owner.scheduler, 'group closed') !== undefined, STEP_TIMEOUT_MS)
    })
    const extraCpuMs = churn.cpuMs - steady.corePercent * 10 * churn.seconds
    const extraSentBytes = churn.sentBytes - steady.sentKbPerSecond * 1000 * churn.seconds
    return {
      workers,
      tasks,
      emptyMb: roundToPrecision(emptyMb),
      ...toFigures('fill', fill, tasks),
      ...toFigures('steady', steady, tasks),
      standbyMb: roundToPrecision(standbyUsage.residentMb),
      standbyCorePercent: roundToPrecision(standbyUsage.corePercent),
      standbyKbPerSecond: roundToPrecision(standbyUsage.receivedKbPerSecond + standbyUsage.sentKbPerSecond),
      ...toFigures('churn', churn, batchTasks),
      // The steady-state work of the owner continues during the batch run; the rest is the cost of its tasks.
      churnOwnCpuMsPerTask: roundToPrecision(extraCpuMs / batchTasks),
      churnOwnSentBytesPerTask: roundToPrecision(extraSentBytes / batchTasks),
      ...await measureTakeover(cell, owner, standby)
    }
  })
}

function makeWorkload (id: string, kind: Workload['kind'], tasks: number, payload: Record<string, unknown>): Workload {
  const resources = { cpuMillis: 1000, memoryMb: 1000, accelerators: 0 }
  return { id, team: 'team-a', kind, tasks, resources, payload }
}

function findOwner (cell: Cell): EntryVm | undefined {
  return cell.vms.find(({ scheduler }) => findLine(scheduler, 'state read, deciding') !== undefined)
}

function findLine (started: StartedProcess, text: string): LogLine | undefined {
  const line = started.log.find((candidate) => candidate.includes(text))
  return line === undefined ? undefined : JSON.parse(line)
}

/** Queries the workers, because a scheduler serves no metrics and the operators' status call would add to its load. */
async function waitUntilRunning (cell: Cell, tasks: number): Promise<void> {
  await waitUntil(`${tasks} tasks are running`, async () => {
    const workers = await callControl(workersUrl(cell), 'workers') as Array<{ running: unknown[] }>
    return workers.reduce((sum, { running }) => sum + running.length, 0) >= tasks
  }, STEP_TIMEOUT_MS)
}

function workersUrl (cell: Cell): string {
  return cell.workers[0]?.ready['url'] as string
}

/** Waits until every worker has a session of at least an epoch; the shard's owner then knows the worker's tasks. */
async function waitForSessions (cell: Cell, shard: string, epoch: number): Promise<void> {
  const workers = cell.workers[0]?.ready['workers'] as string[]
  for (let start = 0; start < workers.length; start += MAX_CONCURRENT_INSPECTIONS) {
    const batch = workers.slice(start, start + MAX_CONCURRENT_INSPECTIONS)
    await waitUntil(`${batch.length} workers have sessions of epoch ${epoch}`, async () => {
      const answers = await Promise.all(batch.map(async (worker) => {
        const response = await fetch(`${workersUrl(cell)}/workers/${worker}/inspect?shard=${shard}`)
        return await response.json() as { epoch: number }
      }))
      return answers.every((answer) => answer.epoch >= epoch)
    }, STEP_TIMEOUT_MS)
  }
}

/** Measures a scheduler's resource usage and the store calls of its cell while an action runs. */
async function measureStep (cell: Cell, scheduler: StartedProcess, action: () => Promise<void>) {
  const [before, storeBefore] = [await readUsage(scheduler.pid), await readStoreCallCounts(cell)]
  await action()
  const [after, storeAfter] = [await readUsage(scheduler.pid), await readStoreCallCounts(cell)]
  const usage = subtractUsage(after, before)
  return { ...usage, writes: storeAfter.writes - storeBefore.writes, reads: storeAfter.reads - storeBefore.reads }
}

/** Names the figures of a step with its prefix and rounds them. */
function toFigures (
  name: string, step: Awaited<ReturnType<typeof measureStep>>, tasks: number
): Record<string, number> {
  return {
    [`${name}Seconds`]: roundToPrecision(step.seconds),
    [`${name}Mb`]: roundToPrecision(step.residentMb),
    [`${name}CorePercent`]: roundToPrecision(step.corePercent),
    [`${name}CpuMsPerTask`]: roundToPrecision(step.cpuMs / tasks),
    [`${name}SentBytesPerTask`]: roundToPrecision(step.sentBytes / tasks),
    [`${name}SentKbPerSecond`]: roundToPrecision(step.sentKbPerSecond),
    [`${name}ReceivedKbPerSecond`]: roundToPrecision(step.receivedKbPerSecond),
    [`${name}StoreWritesPerSecond`]: roundToPrecision(step.writes / step.seconds),
    [`${name}StoreReadsPerSecond`]: roundToPrecision(step.reads / step.seconds)
  }
}

/** Kills the owner and measures the standby's takeover until it has sessions with all workers. */
async function measureTakeover (cell: Cell, owner: EntryVm, standby: EntryVm): Promise<Record<string, number>> {
  const killedAt = Date.now()
  const before = await readUsage(standby.scheduler.pid)
  await owner.scheduler.kill()
  const findStandbyLine = (text: string) => findLine(standby.scheduler, text)
  await waitUntil('the standby has taken the shard over', () => findStandbyLine('state read, deciding') !== undefined, STEP_TIMEOUT_MS)
  const { time: takenAt, shard, epoch } = findStandbyLine('shard taken over') as LogLine
  const { time: readAt } = findStandbyLine('state read, deciding') as LogLine
  await waitForSessions(cell, shard, epoch)
  const fencedAt = Date.now()
  const usage = subtractUsage(await readUsage(standby.scheduler.pid), before)
  return {
    takeoverDetectMs: takenAt - killedAt,
    takeoverReadMs: readAt - takenAt,
    takeoverAllFencedMs: fencedAt - takenAt,
    takeoverCpuMs: roundToPrecision(usage.cpuMs),
    takeoverReceivedKb: roundToPrecision(usage.receivedBytes / 1000)
  }
}
