import { MemoryCell } from '@gypsumspring/jobs/standins'
import { sleep } from '@gypsumspring/protocol'

/** Time limit for all jobs, in ms. */
const TIMEOUT_MS = 20_000

const TWO_STEP_JOB_ID = '00000000000000a1'
const GANG_JOB_ID = '00000000000000a2'

/**
 * Runs a job with two steps and a gang job on a cell of three nodes in this process and kills the owner meanwhile.
 *
 * @param print - Called with a line of text for each event.
 * @returns A description of each problem; empty on success.
 */
export async function runJobs (print: (line: string) => void): Promise<string[]> {
  const cell = new MemoryCell({ nodes: 3, workers: 4 })
  await sleep(1_000)
  print(`job with two steps of 4 and 2 tasks: ${await cell.submit(TWO_STEP_JOB_ID, [{ count: 4 }, { count: 2, after: [0] }])}`)
  print(`gang job with 3 tasks: ${await cell.submit(GANG_JOB_ID, [{ count: 3, gang: true }])}`)
  await sleep(500)
  const owner = cell.owner?.name
  if (owner !== undefined) cell.killNode(owner)
  print(`killed the owner of the cell (${owner ?? 'none'}) while the tasks ran`)
  const problems = await waitForEnd(cell, print)
  await cell.stop()
  return [...problems, ...cell.checker.violations]
}

async function waitForEnd (cell: MemoryCell, print: (line: string) => void): Promise<string[]> {
  const startedAt = performance.now()
  for (;;) {
    const states = await Promise.all([TWO_STEP_JOB_ID, GANG_JOB_ID].map(async (id) => await cell.show(id)))
    const areCompleted = states.every((state) => state === 'completed')
    if (!areCompleted && performance.now() - startedAt < TIMEOUT_MS) {
      await sleep(200)
      continue
    }
    print(`job states: ${states.join(', ')}; ${cell.checker.starts} starts for 9 tasks`)
    return areCompleted ? [] : [`jobs not completed in ${TIMEOUT_MS} ms: ${states.join(', ')}`]
  }
}
