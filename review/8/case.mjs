/** A job whose cancelling was answered with 410 starts later, and runs on. */
import { fileURLToPath } from 'node:url'
import { BROKEN, HELD, NOT_RUN, createId, runCase } from '../standins-2/deployment.mjs'
import { sleep } from '../standins-2/platform.mjs'

const ZONES = ['z-1', 'z-2', 'z-3']

const JOB = {
  spec: '{"ms":1000000}', steps: [{ count: 1, cpu: 500, mem_mb: 256, est_runtime_ms: 1_000, long_running: true }]
}

/** The store answers nothing for this time; it carries out what it has received then `LATE_MS` later. */
const SILENT_MS = 2_500
const LATE_MS = 6_000

/** Time after the outage after which the client cancels; `cancel_ms` of the pages. */
const CANCEL_AFTER_MS = 500
const CANCEL_MS = 3_000

async function play (deployment, isTroubled) {
  const isOpen = await deployment.open({ routes: [{}], runners: Array.from({ length: 9 }, () => ({})), zones: ZONES })
  if (!isOpen) return NOT_RUN
  const { nodes } = deployment.nodes
  const { store } = deployment
  const id = createId()
  if (isTroubled) {
    store.silentFor = LATE_MS
    deployment.write('the store answers nothing')
    setTimeout(() => {
      store.silentFor = undefined
      deployment.write('the store answers again')
    }, SILENT_MS)
  }
  const silentEnd = performance.now() + SILENT_MS
  const handedIn = await deployment.post(nodes[0], `/q0/${id}`, JOB)
  await sleep(silentEnd + CANCEL_AFTER_MS - performance.now())
  let cancelled
  for (const node of [...nodes, ...nodes]) {
    cancelled = await deployment.delete(node, `/q0/${id}`)
    if (cancelled.status === 410 || cancelled.status === 200) break
    await sleep(200)
  }
  if (cancelled.status !== 410 && cancelled.status !== 200) return NOT_RUN
  const cancelledAt = deployment.record.seconds
  await sleep(LATE_MS + CANCEL_MS + 3_000)
  const allowedUntil = cancelledAt + CANCEL_MS / 1_000
  const starts = deployment.started.filter(({ task, at }) => task.startsWith(id) && at > allowedUntil)
  const isRunning = deployment.runners.some(({ running }) => running.some(({ task }) => task.startsWith(id)))
  const state = await deployment.get(nodes[1], `/q0/${id}`)
  deployment.record.say(`handing in: ${handedIn.status}; cancelling: ${cancelled.status}; starts later than ${CANCEL_MS} ms after ` +
    `that: ${starts.map(({ at }) => `${(at - cancelledAt).toFixed(2)} s`).join(', ') || 'none'}; now ` +
    `${isRunning ? 'running' : 'not running'}, shown as ${state.status} ${state.body?.state ?? ''}`)
  return starts.length > 0 && isRunning ? BROKEN : HELD
}

runCase(fileURLToPath(new URL('record.txt', import.meta.url)), play)
