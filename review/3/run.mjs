/**
 * Two jobs of 20 lasting tasks each need a label that one of six servers has. This server crashes right after it has
 * started them, and a new incarnation is back at its address after 3 s. From then on nothing is disturbed.
 */
import { hasTrouble, makeId, PREFIX, runCase, sleep } from '../standins/cell.mjs'
import { Server } from '../standins/platform.mjs'

const TASKS = 20
const DOWN_MS = 3_000

/** Sound tasks that last work until they are stopped, here longer than the script runs. */
const LASTS = { afterMs: 600_000, how: 'failed' }

await runCase(import.meta.dirname, async (cell, record) => {
  await cell.start({ plan: () => LASTS, kinds: (index) => index === 0 ? 'b' : 'a' })
  let server = cell.servers[0]
  const ids = [makeId(1), makeId(2)]
  const step = { count: TASKS, cpu: 500, mem_mb: 512, est_runtime_ms: 500, long_running: true, requirements: 'b' }
  await Promise.all(ids.map((id) => cell.submit(id, { spec: 'text', steps: [step] })))
  const areAllRunning = () => server.running.size === TASKS * ids.length
  for (let waited = 0; !areAllRunning() && waited < 10_000; waited += 20) await sleep(20)
  record.add({ event: 'all run', running: server.running.size })
  await sleep(300)
  if (hasTrouble) {
    const { id, store, service, zone, capacity, labels, log, plan, address } = server
    server.crash()
    await sleep(DOWN_MS)
    server = new Server({ id: `${id.slice(0, -1)}f`, store, service, zone, capacity, labels, log, plan })
    const [ip, port] = address.split(':')
    await server.start(ip, Number(port))
    cell.servers.push(server)
    record.add({ event: 'next incarnation', server: server.id })
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
    const hasRoom = (server.running.size + 2) * step.cpu <= server.capacity.cpu &&
      (server.running.size + 2) * step.mem_mb <= server.capacity.mem_mb
    for (const name of names) {
      if (server.running.has(name)) {
        lastRun.set(name, now)
        missingSince.delete(name)
        continue
      }
      if (!hasRoom) missingSince.delete(name)
      else if (!missingSince.has(name)) missingSince.set(name, now)
      const since = Math.max(missingSince.get(name) ?? Infinity, calmSince + 4_000, lastRun.get(name) + 3_000)
      if (now - since >= 3_000 && !broken.has(name)) {
        broken.set(name, `${name} lasts and doesn't run ${Math.round(now - calmSince)} ms after the server was back; ${server.running.size} of ${names.length} tasks run`)
      }
    }
  }
  record.add({ event: 'at the end', running: server.running.size })
  for (const id of ids) await cell.call(cell.nodes[0], 'GET', `${PREFIX}${id}`)
  return [...broken.values()]
})
