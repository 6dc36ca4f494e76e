import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { throwUncaught } from '@gypsumspring/protocol'
import type { LogWriter } from '../ports.ts'
import { MemoryCell } from '../standins/index.ts'
import type { Queue, Step } from '../types.ts'

/** One case of a load pattern: a simulated cell and what has to hold under the load. */
export interface LoadCase {
  name: string
  options?: ConstructorParameters<typeof MemoryCell>[0]
  run: (cell: MemoryCell, clock: Clock) => Promise<void>
}

/** Time in which a new cell finds an owner and polls its workers, in ms. */
const START_MS = 2_000

/** Runs each case on a cell of its own, whose invariants must hold at the end, with a simulated clock. */
export function describeCells (pattern: string, cases: readonly LoadCase[]): void {
  describe(pattern, () => {
    let clock: Clock
    beforeEach(() => { clock = install() })
    afterEach(() => clock.uninstall())

    for (const { name, options, run } of cases) {
      it(name, async () => {
        const cell = new MemoryCell(options)
        await clock.tickAsync(START_MS)
        await run(cell, clock)
        const stopped = cell.stop()
        await clock.tickAsync(10_000)
        await stopped
        expect(cell.checker.violations).to.deep.equal([])
      })
    }
  })
}

/** Creates a log that records the monotonic time at which each job ends, in ms. */
export function createEndLog (): LogWriter & { endedAt: Map<string, number> } {
  const endedAt = new Map<string, number>()
  return {
    endedAt,
    info: ({ job }, message) => { if (message === 'job ended') endedAt.set(String(job), performance.now()) },
    warn: () => {}
  }
}

/** Submits a job without waiting for the answer; the call proceeds as the clock is advanced. */
export function submitInBackground (
  cell: MemoryCell, id: string, steps: Array<Partial<Step>>, queue?: Queue, occurrences?: number
): void {
  cell.submit(id, steps, { queue, occurrences }).catch(throwUncaught)
}

export function killOwner (cell: MemoryCell): void {
  if (cell.owner !== undefined) cell.killNode(cell.owner.name)
}

/** Returns the state of a job as shown to callers, while the clock is advanced. */
export async function fetchState (cell: MemoryCell, clock: Clock, id: string): Promise<string | undefined> {
  const shown = cell.show(id)
  await clock.tickAsync(SHOW_MS)
  return await shown
}

/** Time in which a state is answered, in ms. */
const SHOW_MS = 200
