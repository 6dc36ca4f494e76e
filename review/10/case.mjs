/** A large filler job that lasts keeps all later filler jobs from starting, for good. */
import { fileURLToPath } from 'node:url'
import { BROKEN, HELD, NOT_RUN, createId, runCase } from '../standins-2/deployment.mjs'
import { sleep } from '../standins-2/platform.mjs'

const ZONES = ['z-1', 'z-2', 'z-3']
const RUNNERS = 9

/** The burst: one job of tasks that last and fill, as wide and large as the sheet allows. */
const LARGE_JOB = {
  spec: '{"ms":1000000}',
  steps: [{ count: 36, cpu: 16_000, mem_mb: 1_000, est_runtime_ms: 1_000, long_running: true, fills: true }]
}

/** A job of one task that fills. */
const SMALL_JOB = { spec: '{"ms":1000}', steps: [{ count: 1, cpu: 4_000, mem_mb: 256, est_runtime_ms: 1_000, fills: true }] }

/** `finish_s` of the pages; the rule looks at 3 s. */
const FINISH_MS = 14_000
const IDLE_MS = 3_000

async function play (deployment, isTroubled) {
  const isOpen = await deployment.open({
    routes: [{}], runners: Array.from({ length: RUNNERS }, () => ({})), zones: ZONES
  })
  if (!isOpen) return NOT_RUN
  const { nodes } = deployment.nodes
  if (isTroubled && (await deployment.post(nodes[0], `/q0/${createId()}`, LARGE_JOB)).status !== 200) return NOT_RUN
  await sleep(4_000)
  const id = createId()
  if ((await deployment.post(nodes[1], `/q0/${id}`, SMALL_JOB)).status !== 200) return NOT_RUN
  await sleep(FINISH_MS + IDLE_MS)
  const { body } = await deployment.get(nodes[2], `/q0/${id}`)
  const begun = deployment.started.some(({ task }) => task.startsWith(id))
  deployment.record.say(`17 s after the last request: tasks running: ${deployment.runners.map(({ running }) => running.length)}; ` +
    `the small job is shown as ${body?.state}, and ${begun ? 'has begun' : 'nothing of it has run'}`)
  return begun ? HELD : BROKEN
}

runCase(fileURLToPath(new URL('record.txt', import.meta.url)), play)
