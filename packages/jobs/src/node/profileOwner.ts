import { Session, type Profiler } from 'node:inspector'
import type { LogWriter } from '../ports.ts'

/** Trial: logs every 2 s where the processor time of the owner's process went. */
export function profileOwner (log: LogWriter, signal: () => boolean): void {
  const session = new Session()
  session.connect()
  session.post('Profiler.enable')
  session.post('Profiler.setSamplingInterval', { interval: 1000 })
  session.post('Profiler.start')
  let usage = process.cpuUsage()
  const timer = setInterval(() => {
    session.post('Profiler.stop', (error, result) => {
      if (error !== null) return
      const { user, system } = process.cpuUsage(usage)
      usage = process.cpuUsage()
      report(log, result.profile, (user + system) / 1000)
      if (signal()) {
        clearInterval(timer)
        session.disconnect()
      } else session.post('Profiler.start')
    })
  }, 2000)
}

function report (log: LogWriter, { nodes, samples, timeDeltas }: Profiler.Profile, cpuMs: number): void {
  const self = new Map<number, number>()
  for (const [index, id] of (samples ?? []).entries()) self.set(id, (self.get(id) ?? 0) + (timeDeltas?.[index] ?? 0) / 1000)
  const byId = new Map(nodes.map((node) => [node.id, node]))
  const selfByName = new Map<string, number>()
  const totalByName = new Map<string, number>()
  const name = ({ callFrame: { functionName, lineNumber, columnNumber } }: Profiler.ProfileNode) =>
    functionName.startsWith('(') ? functionName : `${functionName}:${lineNumber}:${columnNumber}`
  const walk = (id: number, path: string[]): void => {
    const node = byId.get(id)!
    const own = name(node)
    const ms = self.get(id) ?? 0
    const names = path.includes(own) ? path : [...path, own]
    selfByName.set(own, (selfByName.get(own) ?? 0) + ms)
    for (const each of names) totalByName.set(each, (totalByName.get(each) ?? 0) + ms)
    for (const child of node.children ?? []) walk(child, names)
  }
  walk(nodes[0]!.id, [])
  const top = (map: Map<string, number>, count: number) => [...map].sort((a, b) => b[1] - a[1]).slice(0, count)
    .map(([key, ms]) => `${key}=${Math.round(ms)}`).join(' ')
  log.warn({ profile: 1, cpuMs: Math.round(cpuMs), self: top(selfByName, 25), total: top(totalByName, 70) }, 'owner profile')
}
