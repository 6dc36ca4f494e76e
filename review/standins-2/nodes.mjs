/** Starts the project's program as separate processes, with the command of the deploy file, on loopback addresses. */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as httpRequest } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))

const COMMAND = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))[1].split(' ')

function findFreePort (host) {
  return new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', reject)
    server.listen(0, host, () => {
      const { port } = server.address()
      server.close(() => resolve(port))
    })
  })
}

/** The nodes of a small deployment, each at a loopback address of its own. */
export class Nodes {
  nodes = []
  #folder = mkdtempSync(join(tmpdir(), 'review-2-'))

  /** @param storeAddress - Address of the store. */
  constructor (storeAddress, { memoryMb = 350 } = {}) {
    this.storeAddress = storeAddress
    this.memoryMb = memoryMb
    this.network = `127.${10 + process.pid % 200}.${1 + Math.floor(Math.random() * 250)}`
  }

  /** Creates nodes without starting them. */
  async create (zones) {
    for (const [index, zone] of zones.entries()) {
      const host = `${this.network}.${index + 1}`
      const [front, ready, control] = await Promise.all([1, 2, 3].map(() => findFreePort(host)))
      this.nodes.push({ name: `front-${zone}-${index + 1}`, zone, host, front, ready, control, ends: [], log: [] })
    }
    for (const node of this.nodes) writeFileSync(this.#settingsPath(node), this.#formatSettings(node))
  }

  #settingsPath ({ name }) {
    return join(this.#folder, `${name}.toml`)
  }

  #formatSettings ({ name, zone, host, front, ready, control }) {
    const seeds = this.nodes.slice(0, 3).map((node) => `"${node.host}:${node.control}"`).join(',')
    return `node_name = "${name}"
role = "cell"
machine_class = "front"
serves = ["front","control_plane"]
ip = "${host}"
zone = "${zone}"
region = "region"
internal_ports = [7720,7735]
seeds = [${seeds}]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
orders = "call"
[zones]
${[...new Set(this.nodes.map((node) => node.zone))].map((known) => `${known} = "region"`).join('\n')}
[listen]
front = "${host}:${front}"
ready = "${host}:${ready}"
control = "${host}:${control}"
[limits]
cpu_share = 0.675
cores = 1
memory_mb = ${this.memoryMb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 6000
stop_timeout_ms = 900
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
require_fencing = true
lease_ms = 3000
[platform]
address = "${this.storeAddress}"
form = "table"
writes_per_s = 600
reads_per_s = 2000
tx_ms = 8.0
part_writes_s = 150
row_bytes = 65536
across = false
history_s = 20
`
  }

  /** Starts the process of a node. With `restart`, it is started again when it ends, as the platform does. */
  start (node, { restart = true } = {}) {
    const [program, ...words] = COMMAND
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, GYPSUMSPRING_SETTINGS: this.#settingsPath(node) },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    node.child = child
    node.restart = restart
    const keep = (piece) => {
      node.log.push(...piece.toString().split('\n').filter((line) => line !== ''))
      if (node.log.length > 4_000) node.log.splice(0, 2_000)
    }
    child.stdout.on('data', keep)
    child.stderr.on('data', keep)
    child.once('close', (code, signal) => {
      if (node.child !== child) return
      node.child = undefined
      node.ends.push({ at: Date.now(), code, signal, byTest: node.killed === child })
      this.onEnd?.(node, code, signal, node.killed === child)
      if (node.restart) node.restartTimer = setTimeout(() => this.start(node), 500)
    })
  }

  /** Sends a signal to the process of a node. */
  signal (node, signal) {
    if (signal === 'SIGKILL' || signal === 'SIGTERM') node.killed = node.child
    node.child?.kill(signal)
  }

  /** Ends all processes. */
  async stop () {
    await Promise.all(this.nodes.map(async (node) => {
      node.restart = false
      clearTimeout(node.restartTimer)
      const { child } = node
      if (child === undefined) return
      node.killed = child
      const ended = new Promise((resolve) => child.once('close', resolve))
      child.kill('SIGCONT')
      child.kill('SIGKILL')
      await ended
    }))
    rmSync(this.#folder, { recursive: true, force: true })
  }
}

/** Resident memory of a process and its peak, in MB. */
export function readMemoryMb ({ child }) {
  try {
    const text = readFileSync(`/proc/${child.pid}/status`, 'utf8')
    const read = (name) => Math.round(Number(new RegExp(`${name}:\\s+(\\d+) kB`).exec(text)?.[1] ?? 0) / 1024)
    return { now: read('VmRSS'), peak: read('VmHWM') }
  } catch {
    return { now: 0, peak: 0 }
  }
}

/** Sends a request to a node. Resolves with the status and the parsed body; status 0 when there was no answer. */
export function call ({ host, front }, method, path, { routeHost, body, timeoutMs = 3_000, port = front } = {}) {
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body)
    const request = httpRequest({
      host,
      port,
      method,
      path,
      agent: false,
      headers: {
        host: routeHost ?? 'unknown.example',
        'x-gypsumspring-deadline-ms': String(timeoutMs),
        ...text === undefined
          ? {}
          : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }
      }
    }, (response) => {
      const pieces = []
      response.on('data', (piece) => pieces.push(piece))
      response.on('error', () => resolve({ status: 0 }))
      response.on('end', () => {
        let parsed
        try {
          parsed = JSON.parse(Buffer.concat(pieces).toString())
        } catch {}
        resolve({ status: response.statusCode, body: parsed })
      })
    })
    request.setTimeout(timeoutMs, () => request.destroy(new Error('no answer in time')))
    request.on('error', (error) => resolve({ status: 0, error: error.message }))
    request.end(text)
  })
}
