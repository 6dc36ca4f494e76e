import { sleep, type Workload } from '@gypsumspring/protocol'
import { callControl, type Cell, type EntryVm, type StartedProcess } from '@gypsumspring/standins'
import { makeManifest, putManifest, readStoreCounts, round, waitUntil, withCell } from './cell.ts'
import { measureMean, readUsage, subtractUsage } from './readUsage.ts'

const TASKS_PER_WORKER = 18
/** Two slots stay free on each worker, for the tasks of the batch run. */
const SLOTS_PER_WORKER = 20
const BATCH_TASKS_PER_WORKER = 4
const STEADY_MS = 10_000
const LONGEST_STEP_MS = 60_000
/** Below the number of connections that a listening socket queues. */
const INSPECTED_AT_ONCE = 50

interface LogLine {
  /** On the clock of `Date.now()`, in ms. */
  time: number
  shard: string
  epoch: number
}

/** A scheduler that owns one shard of so many workers: start of all tasks, steady state, batch run, takeover. */
export async function measureScheduler (workers: number): Promise<Record<string, number>> {
  return await withCell({
    entryVms: 2, workers, cpuMillis: SLOTS_PER_WORKER * 1000, memoryMb: SLOTS_PER_WORKER * 1000
  }, 1, async (cell) => {
    const tasks = workers * TASKS_PER_WORKER
    const service = makeWorkload('service-a', 'service', tasks, {})
    await putManifest(cell, makeManifest(1), 0)
    await waitUntil('the shard has an owner', () => findOwner(cell) !== undefined, LONGEST_STEP_MS)
    const owner = findOwner(cell) as EntryVm
    const standby = cell.vms.find((vm) => vm !== owner) as EntryVm
    await sleep(2000)
    const emptyMb = (await readUsage(owner.scheduler.pid)).residentMb
    const fill = await measureStep(cell, owner.scheduler, async () => {
      await putManifest(cell, makeManifest(1, [service]), 1)
      await waitUntilRunning(cell, tasks)
    })
    await sleep(2000)
    const [steady, standbyUse] = await Promise.all([
      measureStep(cell, owner.scheduler, async () => await sleep(STEADY_MS)),
      measureMean([standby.scheduler.pid], async () => await sleep(STEADY_MS))
    ])
    const batchTasks = workers * BATCH_TASKS_PER_WORKER
    const batch = makeWorkload('batch-a', 'batch', batchTasks, { runMs: 1000 })
    const churn = await measureStep(cell, owner.scheduler, async () => {
      await putManifest(cell, makeManifest(1, [service, batch]), 2)
      await waitUntil('batch run over', () => findLine(owner.scheduler, 'group closed') !== undefined, LONGEST_STEP_MS)
    })
    const ownCpuMs = churn.cpuMs - steady.corePercent * 10 * churn.seconds
    const ownSentBytes = churn.sentBytes - steady.sentKbPerSecond * 1000 * churn.seconds
    return {
      workers,
      tasks,
      emptyMb: round(emptyMb),
      ...describe('fill', fill, tasks),
      ...describe('steady', steady, tasks),
      standbyMb: round(standbyUse.residentMb),
      standbyCorePercent: round(standbyUse.corePercent),
      standbyKbPerSecond: round(standbyUse.receivedKbPerSecond + standbyUse.sentKbPerSecond),
      ...describe('churn', churn, batchTasks),
      // What the owner does in the steady state goes on meanwhile; the rest is the cost of starts and ends.
      churnOwnCpuMsPerTask: round(ownCpuMs / batchTasks),
      churnOwnSentBytesPerTask: round(ownSentBytes / batchTasks),
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

/** Asks the workers, since a scheduler serves no metrics and the operators' status call would load it. */
async function waitUntilRunning (cell: Cell, tasks: number): Promise<void> {
  await waitUntil(`${tasks} tasks run`, async () => {
    const workers = await callControl(workersUrl(cell), 'workers') as Array<{ running: unknown[] }>
    return workers.reduce((sum, { running }) => sum + running.length, 0) >= tasks
  }, LONGEST_STEP_MS)
}

function workersUrl (cell: Cell): string {
  return cell.workers[0]?.ready['url'] as string
}

/** Waits until every worker has a session of an epoch, so that its tasks are known to the shard's owner. */
async function waitUntilFenced (cell: Cell, shard: string, epoch: number): Promise<void> {
  const workers = cell.workers[0]?.ready['workers'] as string[]
  for (let start = 0; start < workers.length; start += INSPECTED_AT_ONCE) {
    const group = workers.slice(start, start + INSPECTED_AT_ONCE)
    await waitUntil(`sessions of epoch ${epoch}`, async () => {
      const answers = await Promise.all(group.map(async (worker) => {
        const response = await fetch(`${workersUrl(cell)}/workers/${worker}/inspect?shard=${shard}`)
        return await response.json() as { epoch: number }
      }))
      return answers.every((answer) => answer.epoch >= epoch)
    }, LONGEST_STEP_MS)
  }
}

async function measureStep (cell: Cell, scheduler: StartedProcess, action: () => Promise<void>) {
  const [before, storeBefore] = [await readUsage(scheduler.pid), await readStoreCounts(cell)]
  await action()
  const [after, storeAfter] = [await readUsage(scheduler.pid), await readStoreCounts(cell)]
  const rate = subtractUsage(after, before)
  return { ...rate, writes: storeAfter.writes - storeBefore.writes, reads: storeAfter.reads - storeBefore.reads }
}

function describe (name: string, step: Awaited<ReturnType<typeof measureStep>>, tasks: number): Record<string, number> {
  return {
    [`${name}Seconds`]: round(step.seconds),
    [`${name}Mb`]: round(step.residentMb),
    [`${name}CorePercent`]: round(step.corePercent),
    [`${name}CpuMsPerTask`]: round(step.cpuMs / tasks),
    [`${name}SentBytesPerTask`]: round(step.sentBytes / tasks),
    [`${name}SentKbPerSecond`]: round(step.sentKbPerSecond),
    [`${name}ReceivedKbPerSecond`]: round(step.receivedKbPerSecond),
    [`${name}StoreWritesPerSecond`]: round(step.writes / step.seconds),
    [`${name}StoreReadsPerSecond`]: round(step.reads / step.seconds)
  }
}

/** Kills the owner and waits until its successor has sessions at all workers. */
async function measureTakeover (cell: Cell, owner: EntryVm, standby: EntryVm): Promise<Record<string, number>> {
  const killedAt = Date.now()
  const before = await readUsage(standby.scheduler.pid)
  await owner.scheduler.kill()
  const find = (text: string) => findLine(standby.scheduler, text)
  await waitUntil('shard taken over', () => find('state read, deciding') !== undefined, LONGEST_STEP_MS)
  const { time: takenAt, shard, epoch } = find('shard taken over') as LogLine
  const { time: readAt } = find('state read, deciding') as LogLine
  await waitUntilFenced(cell, shard, epoch)
  const fencedAt = Date.now()
  const rate = subtractUsage(await readUsage(standby.scheduler.pid), before)
  return {
    takeoverDetectMs: takenAt - killedAt,
    takeoverReadMs: readAt - takenAt,
    takeoverAllFencedMs: fencedAt - takenAt,
    takeoverCpuMs: round(rate.cpuMs),
    takeoverReceivedKb: round(rate.receivedBytes / 1000)
  }
}
