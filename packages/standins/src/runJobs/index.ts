import { MemoryCell } from '@gypsumspring/jobs/standins'
import { sleep } from '@gypsumspring/protocol'

/** Longest time that the jobs may take, in ms. */
const TIMEOUT_MS = 20_000

const JOB_WITH_TWO_STEPS = '00000000000000a1'
const GANG = '00000000000000a2'

/**
 * Runs a job with two steps and a gang on a cell of three nodes in this process, and kills the owner meanwhile.
 *
 * @param print - Receives one line for each thing that happened.
 * @returns A line for each problem; none when all went well.
 */
export async function runJobs (print: (line: string) => void): Promise<string[]> {
  const cell = new MemoryCell({ nodes: 3, workers: 4 })
  await sleep(1_000)
  print(`two steps, 4 and 2 tasks: ${await cell.submit(JOB_WITH_TWO_STEPS, [{ count: 4 }, { count: 2, after: [0] }])}`)
  print(`a gang of 3 tasks: ${await cell.submit(GANG, [{ count: 3, gang: true }])}`)
  await sleep(500)
  const owner = cell.owner?.name
  if (owner !== undefined) cell.killNode(owner)
  print(`killed ${owner ?? 'nobody'}, which owned the cell, while the tasks ran`)
  const problems = await waitForEnd(cell, print)
  await cell.stop()
  return [...problems, ...cell.checker.violations]
}

async function waitForEnd (cell: MemoryCell, print: (line: string) => void): Promise<string[]> {
  const startedAt = performance.now()
  for (;;) {
    const states = await Promise.all([JOB_WITH_TWO_STEPS, GANG].map(async (id) => await cell.show(id)))
    const isOver = states.every((state) => state === 'completed')
    if (!isOver && performance.now() - startedAt < TIMEOUT_MS) {
      await sleep(200)
      continue
    }
    print(`states: ${states.join(', ')}; ${cell.checker.starts} starts of 9 tasks`)
    return isOver ? [] : [`the jobs did not end: ${states.join(', ')}`]
  }
}
