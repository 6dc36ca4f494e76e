import { sleep } from '@gypsumspring/protocol'
import { putManifest, round, withCell } from './cell.ts'
import { measureMean } from './readUsage.ts'

const IDLE_MS = 8000
const BUSY_MS = 8000
const REQUESTS_PER_SECOND = 200
/** Requests are sent in bunches, since timers of this process are no finer than 1 ms. */
const BUNCH_MS = 10
const ENTRIES = 2

/** Two entries of one domain with an endpoint of so many runners, idle and under a fixed rate of quick requests. */
export async function measureEntries (runners: number): Promise<Record<string, number>> {
  return await withCell({ entryVms: ENTRIES, workers: 0, serviceMs: 5 }, runners, async (cell) => {
    const startedMb = await measureMean(cell.vms.map(({ entry }) => entry.pid), async () => {})
    await putManifest(cell, cell.manifest, 0)
    await sleep(4000)
    const urls = cell.vms.map(({ callerUrl }) => callerUrl)
    const pids = cell.vms.map(({ entry }) => entry.pid)
    const idle = await measureMean(pids, async () => await sleep(IDLE_MS))
    const counts = { answered: 0, other: 0 }
    const busy = await measureMean(pids, async () => await sendRequests(urls, counts))
    const requestsPerEntry = (counts.answered + counts.other) / ENTRIES
    // What the entry does when idle goes on while it is busy, so the difference is the cost of the requests.
    const cpuMs = busy.cpuMs - idle.corePercent * 10 * busy.seconds
    await sleep(3000)
    const after = await measureMean(pids, async () => await sleep(1000))
    return {
      runners,
      startedMb: round(startedMb.residentMb),
      idleMb: round(idle.residentMb),
      idleCorePercent: round(idle.corePercent),
      idleSentKbPerSecond: round(idle.sentKbPerSecond),
      idleReceivedKbPerSecond: round(idle.receivedKbPerSecond),
      answered: counts.answered,
      notAnswered: counts.other,
      busySeconds: round(busy.seconds),
      busyCorePercent: round(busy.corePercent),
      busyCpuMsPerRequest: round(cpuMs / requestsPerEntry),
      busySentKbPerSecond: round(busy.sentKbPerSecond),
      busyReceivedKbPerSecond: round(busy.receivedKbPerSecond),
      afterLoadMb: round(after.residentMb)
    }
  })
}

async function sendRequests (urls: string[], counts: { answered: number, other: number }): Promise<void> {
  const calls: Array<Promise<void>> = []
  const start = performance.now()
  for (let elapsed = 0; elapsed < BUSY_MS; elapsed = performance.now() - start) {
    while (calls.length < elapsed * REQUESTS_PER_SECOND / 1000) {
      calls.push(sendRequest(urls[calls.length % urls.length] as string, calls.length, counts))
    }
    await sleep(BUNCH_MS)
  }
  await Promise.all(calls)
}

async function sendRequest (url: string, index: number, counts: { answered: number, other: number }): Promise<void> {
  const response = await fetch(`${url}/e/endpoint-a/item`, {
    headers: { 'x-request-id': `capacity-${process.pid}-${index}`, 'gs-team': 'team-a', 'gs-deadline-ms': '3000' }
  })
  await response.arrayBuffer()
  counts[response.headers.get('gs-outcome') === 'answered' ? 'answered' : 'other']++
}
