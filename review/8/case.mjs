/** After a takeover, the count of waiting jobs leaves out jobs of which no task has begun. */
import { fileURLToPath } from 'node:url'
import { BROKEN, HELD, NOT_RUN, createId, runCase } from '../standins-2/deployment.mjs'
import { sleep } from '../standins-2/platform.mjs'

const ZONES = ['z-1', 'z-2', 'z-3']

/** 30 runners, of which 2 are of kind b; these refuse starts with 503 for 6.5 s. */
const RUNNERS = 30
const UNHEALTHY = 2
const UNHEALTHY_MS = 6_500

/** Jobs that only runners of kind b may run. */
const JOB = { spec: '{"ms":1000}', steps: [{ count: 1, cpu: 500, mem_mb: 256, est_runtime_ms: 1_000, requirements: 'b' }] }
const JOBS = 2

/** Time from the acceptance of a job from which it has to be counted: `visible_ms` and 2 s. */
const COUNTED_AFTER_MS = 5_000

async function play (deployment, isTroubled) {
  const isOpen = await deployment.open({
    routes: [{}],
    runners: Array.from({ length: RUNNERS }, (_, index) => ({ labels: [index < UNHEALTHY ? 'b' : 'a', 'r1-1'] })),
    zones: ZONES
  })
  if (!isOpen) return NOT_RUN
  const { nodes } = deployment.nodes
  const unhealthy = deployment.runners.slice(0, UNHEALTHY)
  for (const runner of unhealthy) runner.refusesStarts = isTroubled
  setTimeout(() => { for (const runner of unhealthy) runner.refusesStarts = false }, UNHEALTHY_MS)
  const owner = deployment.findOwner()
  const other = nodes.find((node) => node !== owner)
  const ids = []
  for (let index = 0; index < JOBS; index++) {
    const id = createId()
    if ((await deployment.post(other, `/q0/${id}`, JOB)).status === 200) ids.push(id)
  }
  if (ids.length < JOBS) return NOT_RUN
  const acceptedAt = performance.now()
  await sleep(500)
  if (isTroubled) {
    deployment.write('SIGKILL', { node: owner.name })
    deployment.nodes.signal(owner, 'SIGKILL')
  }
  await sleep(acceptedAt + COUNTED_AFTER_MS + 300 - performance.now())
  const { status, body } = await deployment.get(other, '/q0/')
  const states = await Promise.all(ids.map((id) => deployment.get(other, `/q0/${id}`)))
  const begun = new Set(deployment.started.map(({ task }) => task.split('.')[0]))
  const waiting = ids.filter((id) => !begun.has(id)).length
  deployment.record.say(`jobs accepted over 5 s ago that have not begun: ${waiting}; answer: ${status} ${JSON.stringify(body)}; ` +
    `states: ${states.map((state) => state.body?.state).join(', ')}`)
  if (status !== 200 || (isTroubled && waiting < JOBS)) return NOT_RUN
  return body.pending < waiting / 2 ? BROKEN : HELD
}

runCase(fileURLToPath(new URL('record.txt', import.meta.url)), play)
