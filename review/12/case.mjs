/**
 * Clients hand in jobs while the store is slow, leave before the answer comes, and cancel at another node. The
 * cancelling is acknowledged, and the jobs run all the same.
 */
import { Deployment, createConfiguration } from '../standins-3/deployment.mjs'

const TROUBLE = process.env.TROUBLE !== '0'

const SLOWNESS = 60
const SLOW_MS = 4_500
/** Clients leave within half of the objective of their jobs, which is 250 ms. */
const LEAVE_MS = 125
const CLIENTS = 6
const CONTACT_MS = 3_000
const CANCEL_MS = 3_000
const STOP_TIMEOUT_MS = 900

const deployment = new Deployment({
  folder: import.meta.dirname,
  nodes: 4,
  runners: 8,
  // Tasks that last run until they are stopped.
  runnerOptions: () => ({ planRun: () => undefined })
})
await deployment.start(createConfiguration())
// The cell has had one owner for longer than late writes may take.
await deployment.sleep(18_000)

const jobs = []

/** One client: hands a job in at one node, leaves, and cancels the job at another node until that is acknowledged. */
async function handInAndCancel (index) {
  const id = `cccc${index.toString(16).padStart(12, '0')}`
  const [first, second] = [deployment.nodes[index % 4], deployment.nodes[(index + 1) % 4]]
  const body = { spec: `job ${index}`, steps: [{ count: 2, cpu: 500, mem_mb: 256, est_runtime_ms: 500, long_running: true }] }
  const job = { id, ackedAt: undefined, status: undefined }
  jobs.push(job)
  const left = deployment.call(first, 'POST', `/a/${id}`, { body, leaveMs: LEAVE_MS })
  const { status } = await left
  deployment.note(`${id}: handed in at ${first.name}; answer ${status === 0 ? `none, left after ${LEAVE_MS} ms` : status}`)
  for (let attempt = 0; attempt < 5; attempt++) {
    const node = attempt % 2 === 0 ? second : deployment.nodes[(index + 2) % 4]
    const answer = await deployment.call(node, 'DELETE', `/a/${id}`)
    deployment.note(`${id}: cancelled at ${node.name}; answer ${answer.status} after ${Math.round(answer.tookMs)} ms`)
    if ((answer.status >= 200 && answer.status < 300) || answer.status === 410) {
      job.ackedAt = deployment.now
      job.status = answer.status
      return
    }
    await deployment.sleep(200)
  }
}

const calmBefore = deployment.now
if (TROUBLE) deployment.store.slowness = SLOWNESS
deployment.note(TROUBLE ? `the store's answers take ${SLOWNESS} times as long` : 'no disruption')
await deployment.sleep(300)
const clients = Array.from({ length: CLIENTS }, async (_, index) => {
  await deployment.sleep(index * 150)
  await handInAndCancel(index + 1)
})
await deployment.sleep(Math.max(0, calmBefore + SLOW_MS - deployment.now))
deployment.store.slowness = 1
deployment.note('the store is as fast as usual')
const calmAt = deployment.now
await Promise.all(clients)

// RULES.md, Words: a task of a cancelled job has to be gone after any stretch of `cancel_ms` + `stop_timeout_ms` in
// which the core was stable, that is, without disruption for `contact_ms`.
const lastAckAt = Math.max(calmAt + CONTACT_MS, ...jobs.map(({ ackedAt = 0 }) => ackedAt))
await deployment.sleep(lastAckAt + CANCEL_MS + STOP_TIMEOUT_MS + 4_000 - deployment.now)
const broken = []
for (const { id, ackedAt, status } of jobs) {
  if (ackedAt === undefined) {
    deployment.note(`${id}: the cancelling was never acknowledged`)
    continue
  }
  const running = deployment.runners.flatMap(({ id: runner, runs }) => runs.filter(({ task }) => task.startsWith(id)).map(({ task }) => `${task} on ${runner}`))
  const starts = deployment.events.filter(({ kind, task }) => kind === 'start' && task.startsWith(id))
  const { text, status: shown } = await deployment.call(deployment.nodes[0], 'GET', `/a/${id}`)
  deployment.note(`${id}: cancelling acknowledged with ${status} at ${Math.round(ackedAt)} ms; starts at ${starts.map(({ at }) => Math.round(at))} ms; ` +
    `${Math.round(deployment.now - ackedAt)} ms after it runs: ${running.join(', ') || 'nothing'}; GET: ${shown} ${text}`)
  if (running.length > 0) broken.push(id)
}
const acked = jobs.filter(({ ackedAt }) => ackedAt !== undefined).length
if (acked === 0) deployment.finish(2, 'no cancelling was acknowledged')
deployment.finish(broken.length > 0 ? 1 : 0, `UNASKED: of ${acked} jobs whose cancelling was acknowledged, ${broken.length} run on`)
