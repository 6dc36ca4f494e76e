import { PlatformEmulator } from '../platform/src/soak/PlatformEmulator.ts'
import { request, Agent } from 'node:http'
import { spawn } from 'node:child_process'
import { writeFileSync, mkdirSync } from 'node:fs'
import { stringify } from 'smol-toml'
const workers = Number(process.env.WORKERS ?? 380)
const rate = Number(process.env.RATE ?? 40)
const secs = Number(process.env.SECS ?? 20)
const emulator = new PlatformEmulator()
await emulator.start()
const advice = { decision_ms: 10, period_ms: 1, valid_ms: 2500 }
emulator.configure({ version: 1, routes: [{ name: 'q', host: 'h', path_prefix: '/q/', service: 'pool', priority: 0, max_attempts: 3, stretch: 1.5, target_latency_ms: 300, advice }] })
for (let i = 0; i < workers; i++) {
  await emulator.addWorker({ id: `i-${String(i).padStart(10, '0')}`, pool: 'pool', failureDomain: `d${i % 5}`, draining: false, leavesInMs: undefined, capacity: { cpuMillis: 16000, memoryMb: 65536, accelerators: 0 }, labels: ['a', `r${i % 19}`] }, () => ({ reason: 'done', afterMs: 640 }), async (a) => a)
}
mkdirSync('/work/out/prof', { recursive: true })
const settings = { node_name: 'n', ip: '127.0.0.9', zone: 'a', seeds: [], advice: emulator.adviceAddress, listen: { front: '127.0.0.9:8161', ready: '127.0.0.9:8167', control: '127.0.0.9:8166' }, bounds: { grace_s: 6, hold_max_ms: 10000, stop_timeout_ms: 900, status_s: 600 }, platform: { address: emulator.storeAddress } }
writeFileSync('/work/out/prof/n.toml', stringify(settings))
const child = spawn('node', [...(process.env.PROF === '0' ? [] : ['--cpu-prof', '--cpu-prof-dir=/work/out/prof', '--cpu-prof-interval', '500']), '--max-old-space-size=160', ...(process.env.NODEARGS ?? '--max-semi-space-size=4').split(' '), process.env.MAIN ?? 'target/main.js'], { env: { ...process.env, GYPSUMSPRING_SETTINGS: '/work/out/prof/n.toml' }, stdio: ['ignore', 'pipe', 'inherit'] })
child.stdout.on('data', (d) => { for (const line of String(d).split('\n')) if (line.includes('owner load')) { const o = JSON.parse(line); console.log(o.jobs, o.workers, o.processors, JSON.stringify(o.durations)) } })
const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))
await sleep(6000)
let n = 0
const agent = new Agent({ keepAlive: true })
if (rate > 0) {
  const end = Date.now() + secs * 1000
  while (Date.now() < end) {
    const id = (++n).toString(16).padStart(16, '0')
    const req = request({ host: '127.0.0.9', port: 8161, path: `/q/${id}`, method: 'POST', agent, headers: { host: 'h', 'content-type': 'application/json' } }, (res) => { res.resume() })
    req.on('error', () => {})
    req.end(JSON.stringify({ spec: 'x'.repeat(900), steps: [{ count: 10, cpu: 3600, mem_mb: 7300, est_runtime_ms: 640 }] }))
    await sleep(1000 / rate)
  }
} else await sleep(secs * 1000)
child.kill('SIGTERM')
await new Promise((resolve) => child.on('exit', resolve))
process.exit(0)
