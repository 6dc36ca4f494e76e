import { sleep } from '@gypsumspring/protocol'
import { applyManifest, roundToPrecision, withCell } from './cellHelpers.ts'
import { measureMeanUsage } from './readUsage.ts'

const IDLE_MS = 8000
const BUSY_MS = 8000
const REQUESTS_PER_SECOND = 200
/** Requests are sent in batches because the timers of this process are no finer than 1 ms. */
const SEND_INTERVAL_MS = 10
const ENTRIES = 2

/**
 * Measures two entries in one failure domain, first idle and then at a fixed rate of short requests.
 *
 * @param runners - Number of runners of the endpoint.
 * @returns Mean figures of the two entries.
 *
 * @example
 * await measureEntries(30)
 */
export async function measureEntries (runners: number): Promise<Record<string, number>> {
  return await withCell({ entryVms: ENTRIES, workers: 0, serviceMs: 5 }, runners, async (cell) => {
    const startUsage = await measureMeanUsage(cell.vms.map(({ entry }) => entry.pid), async () => {})
    await applyManifest(cell, cell.manifest, 0)
    await sleep(4000)
    const urls = cell.vms.map(({ callerUrl }) => callerUrl)
    const pids = cell.vms.map(({ entry }) => entry.pid)
    const idle = await measureMeanUsage(pids, async () => await sleep(IDLE_MS))
    const counts = { answered: 0, other: 0 }
    const busy = await measureMeanUsage(pids, async () => await sendRequests(urls, counts))
    const requestsPerEntry = (counts.answered + counts.other) / ENTRIES
    // The background work of an idle entry continues under load, so it is subtracted to get the cost of the requests.
    const cpuMs = busy.cpuMs - idle.corePercent * 10 * busy.seconds
    await sleep(3000)
    const after = await measureMeanUsage(pids, async () => await sleep(1000))
    return {
      runners,
      startedMb: roundToPrecision(startUsage.residentMb),
      idleMb: roundToPrecision(idle.residentMb),
      idleCorePercent: roundToPrecision(idle.corePercent),
      idleSentKbPerSecond: roundToPrecision(idle.sentKbPerSecond),
      idleReceivedKbPerSecond: roundToPrecision(idle.receivedKbPerSecond),
      answered: counts.answered,
      notAnswered: counts.other,
      busySeconds: roundToPrecision(busy.seconds),
      busyCorePercent: roundToPrecision(busy.corePercent),
      busyCpuMsPerRequest: roundToPrecision(cpuMs / requestsPerEntry),
      busySentKbPerSecond: roundToPrecision(busy.sentKbPerSecond),
      busyReceivedKbPerSecond: roundToPrecision(busy.receivedKbPerSecond),
      afterLoadMb: roundToPrecision(after.residentMb)
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
    await sleep(SEND_INTERVAL_MS)
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
