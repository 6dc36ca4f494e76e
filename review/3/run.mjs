/**
 * Four jobs of 36 lasting tasks each are placed on one of six servers. This server crashes right after it has started
 * them, and a new incarnation is back at its address after 3 s. From then on nothing is disturbed.
 */
import { hasTrouble, makeId, PREFIX, runCase, sleep } from '../standins/cell.mjs'
import { Server } from '../standins/platform.mjs'

const JOBS = 4
const TASKS = 36
const DOWN_MS = 3_000

/** Sound tasks that last work until they are stopped, here longer than the script runs. */
const LASTS = { afterMs: 600_000, how: 'failed' }

await runCase(import.meta.dirname, async (cell, record) => {
  await cell.start({ plan: () => LASTS })
  const ids = Array.from({ length: JOBS }, (_, index) => makeId(index + 1))
  const step = { count: TASKS, cpu: 200, mem_mb: 200, est_runtime_ms: 500, long_running: true }
  await Promise.all(ids.map((id) => cell.submit(id, { spec: 'text', steps: [step] })))
  const countRunning = () => cell.servers.reduce((sum, { running }) => sum + running.size, 0)
  const areAllRunning = () => countRunning() === TASKS * ids.length
  for (let waited = 0; !areAllRunning() && waited < 10_000; waited += 20) await sleep(20)
  record.add({ event: 'all run', running: cell.servers.map(({ running }) => running.size) })
  await sleep(300)
  if (hasTrouble) {
    const server = cell.servers.reduce((a, b) => b.running.size > a.running.size ? b : a)
    const { id, store, service, zone, capacity, labels, log, plan, address } = server
    server.crash()
    await sleep(DOWN_MS)
    const next = new Server({ id: `${id.slice(0, -1)}f`, store, service, zone, capacity, labels, log, plan })
    const [ip, port] = address.split(':')
    await next.start(ip, Number(port))
    cell.servers.push(next)
    record.add({ event: 'next incarnation', server: next.id })
  }
  const calmSince = performance.now()
  const names = ids.flatMap((id) => Array.from({ length: TASKS }, (_, index) => `${id}.0.0.${index}`))
  const lastRun = new Map(names.map((name) => [name, performance.now()]))
  const missingSince = new Map()
  const broken = new Map()
  // LOST holds for each task that lasts from 6 s after its last run, if it has nothing running for 3 s, and these 3 s
  // and the 4 s before them are calm. There is capacity for it twice over: see `hasRoom`.
  while (performance.now() - calmSince < 40_000) {
    await sleep(50)
    const now = performance.now()
    const hasRoom = cell.servers.some(({ running, capacity, isCrashed }) => !isCrashed &&
      (running.size + 2) * step.cpu <= capacity.cpu && (running.size + 2) * step.mem_mb <= capacity.mem_mb)
    for (const name of names) {
      if (cell.servers.some(({ running }) => running.has(name))) {
        lastRun.set(name, now)
        missingSince.delete(name)
        continue
      }
      if (!hasRoom) missingSince.delete(name)
      else if (!missingSince.has(name)) missingSince.set(name, now)
      const since = Math.max(missingSince.get(name) ?? Infinity, calmSince + 4_000, lastRun.get(name) + 3_000)
      if (now - since >= 3_000 && !broken.has(name)) {
        broken.set(name, `${name} lasts and doesn't run ${Math.round(now - calmSince)} ms after the server was back; ${countRunning()} of ${names.length} tasks run`)
      }
    }
  }
  record.add({ event: 'at the end', running: countRunning() })
  for (const id of ids) await cell.call(cell.nodes[0], 'GET', `${PREFIX}${id}`)
  return [...broken.values()]
})
