/**
 * Starts a small deployment for a script of this review: the project's own program as separate processes, with the
 * command of the deploy file and settings like those of DEPLOY.md, on loopback addresses of their own.
 */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { Server, Store } from './platform.mjs'

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

const ROOT = resolve(import.meta.dirname, '../..')
const ZONES = ['zone-a', 'zone-b', 'zone-c']
export const HOST = 'jobs.example'
export const PREFIX = '/queue/'

/** Whether a script plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Writes what was sent, answered and run to the script's record.txt. */
export class Record {
  #path
  #startedAt = performance.now()
  events = []

  constructor (directory) {
    this.#path = join(directory, 'record.txt')
    writeFileSync(this.#path, '')
  }

  add (event) {
    const at = Math.round(performance.now() - this.#startedAt)
    this.events.push({ at, ...event })
    appendFileSync(this.#path, `${JSON.stringify({ at, ...event })}\n`)
  }
}

/** A free network of loopback addresses, 127.A.B.*, on which the fixed metrics port is not in use. */
async function chooseNetwork () {
  for (;;) {
    const network = `127.${10 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`
    const isFree = await new Promise((resolve) => {
      const server = createServer().once('error', () => resolve(false))
      server.listen(9464, `${network}.1`, () => server.close(() => resolve(true)))
    })
    if (isFree) return network
  }
}

async function findFreePort (ip) {
  return await new Promise((resolve) => {
    const server = createServer()
    server.listen(0, ip, () => {
      const { port } = server.address()
      server.close(() => resolve(port))
    })
  })
}

class Node {
  constructor (name, ip, path, record) {
    Object.assign(this, { name, ip, path, record })
  }

  start () {
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
    const [program, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, GYPSUMSPRING_SETTINGS: this.path },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    this.child = child
    const logPath = this.path.replace(/toml$/, 'log')
    for (const stream of [child.stdout, child.stderr]) stream.on('data', (bytes) => appendFileSync(logPath, bytes))
    child.once('exit', (code, signal) => this.record.add({ event: 'process ended', node: this.name, code, signal }))
    this.record.add({ event: 'process started', node: this.name, pid: child.pid })
  }

  signal (name) {
    this.record.add({ event: 'signal', node: this.name, signal: name })
    this.child.kill(name)
  }
}

/** Starts nodes, the store and servers, and returns when the nodes are ready and follow one owner. */
export class Cell {
  nodes = []
  servers = []
  store
  #directory = mkdtempSync(join(process.env.KEEP_LOGS ?? tmpdir(), 'review-'))

  constructor (record) {
    this.record = record
    this.store = new Store()
    process.on('exit', () => this.#killAll())
    for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(2))
  }

  async start ({ nodes = 3, servers = 6, capacity = { cpu: 32_000, mem_mb: 65_536, gpu: 0 }, plan, route = {}, kinds = () => 'a' }) {
    this.network = await chooseNetwork()
    const address = (last) => `${this.network}.${last}`
    await this.store.start(address(100))
    for (let index = 0; index < servers; index++) {
      const server = new Server({
        id: `i-7f3a91${(16 + index).toString(16)}`,
        store: this.store,
        service: 'service-a',
        zone: ZONES[index % ZONES.length],
        capacity,
        labels: [kinds(index), `r${Math.floor(index / 8)}-1`],
        log: (event) => this.record.add(event),
        plan
      })
      await server.start(address(101 + index))
      this.servers.push(server)
    }
    this.store.put('op', 'config', {
      version: 1,
      routes: [{
        name: 'queue',
        host: HOST,
        path_prefix: PREFIX,
        service: 'service-a',
        priority: 0,
        max_attempts: 3,
        stretch: 2,
        target_latency_ms: 500,
        ...route
      }],
      services: [{ name: 'service-a' }],
      limits: { max_body_bytes: 262_144 }
    })
    const ports = { front: 0, ready: 0, control: 0 }
    for (const name of Object.keys(ports)) ports[name] = await findFreePort(address(1))
    const addresses = Array.from({ length: nodes }, (_, index) => address(1 + index))
    this.ports = ports
    for (const [index, ip] of addresses.entries()) {
      const name = `front-${ZONES[index % ZONES.length]}-${index + 1}`
      const path = join(this.#directory, `${name}.toml`)
      writeFileSync(path, toSettings({
        name,
        ip,
        zone: ZONES[index % ZONES.length],
        ports,
        seeds: addresses.slice(0, 3).map((seed) => `${seed}:${ports.control}`),
        store: this.store.address
      }))
      const node = new Node(name, ip, path, this.record)
      this.nodes.push(node)
      node.start()
    }
    const deadline = performance.now() + 20_000
    while (performance.now() < deadline) {
      const ready = await Promise.all(this.nodes.map((node) => this.isReady(node)))
      if (ready.every(Boolean) && this.findOwner() !== undefined) {
        // Followers have sent heartbeats and the owner has asked all servers.
        await sleep(2_000)
        return
      }
      await sleep(100)
    }
    throw new CannotRun('the nodes did not become ready')
  }

  /** The node that the store's record names as the owner of the cell. */
  findOwner () {
    const name = this.store.read('control', 'cell', 'owner')?.node
    return this.nodes.find((node) => node.name === name)
  }

  async isReady (node) {
    const answer = await call(`http://${node.ip}:${this.ports.ready}/v1/ready`, { timeoutMs: 500 })
    return answer.status === 200
  }

  /** Calls the jobs' interface at a node as a client does. */
  async call (node, method, path, body) {
    const answer = await call(`http://${node.ip}:${this.ports.front}${path}`, { method, body, timeoutMs: 3_000 })
    this.record.add({ event: 'call', node: node.name, method, path, status: answer.status, answer: answer.body })
    return answer
  }

  /** Submits a job, again with the same id at the next node after no answer, 429, 502, 503 or 504. */
  async submit (id, job) {
    for (let attempt = 0; attempt < 10; attempt++) {
      const node = this.nodes[(attempt + parseInt(id.slice(-2), 16)) % this.nodes.length]
      const { status } = await this.call(node, 'POST', `${PREFIX}${id}`, job)
      if (status === 200) return true
      await sleep(200)
    }
    return false
  }

  stop () {
    for (const server of this.servers) server.stop()
    this.#killAll()
    this.store.stop()
    if (process.env.KEEP_LOGS === undefined) rmSync(this.#directory, { recursive: true, force: true })
  }

  #killAll () {
    for (const { child } of this.nodes) if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
  }
}

export class CannotRun extends Error {}

/** Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase (directory, play) {
  const record = new Record(directory)
  const cell = new Cell(record)
  const limit = setTimeout(() => {
    record.add({ event: 'result', result: 'over time' })
    process.exit(2)
  }, 110_000)
  let code = 2
  try {
    const broken = await play(cell, record)
    for (const line of broken.slice(0, 20)) record.add({ event: 'broken', line })
    console.log(broken.length === 0 ? 'held' : `broken ${broken.length} times, first: ${broken[0]}`)
    code = broken.length === 0 ? 0 : 1
  } catch (error) {
    record.add({ event: 'result', result: String(error) })
    console.log(error instanceof CannotRun ? `could not run: ${error.message}` : error)
  }
  clearTimeout(limit)
  cell.stop()
  record.add({ event: 'result', code })
  process.exit(code)
}

export function makeId (number) {
  return (0x5c0e7a21n * 0x100000000n + BigInt(number) * 2_654_435_761n).toString(16).padStart(16, '0').slice(-16)
}

function call (url, { method = 'GET', body, timeoutMs }) {
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body)
    const headers = {
      host: HOST,
      'x-gypsumspring-deadline-ms': String(timeoutMs),
      ...text === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }
    }
    const outgoing = request(url, { method, headers, agent: false, timeout: timeoutMs }, (response) => {
      const chunks = []
      response.on('data', (chunk) => chunks.push(chunk))
      response.on('end', () => {
        let parsed
        try { parsed = JSON.parse(Buffer.concat(chunks).toString()) } catch {}
        resolve({ status: response.statusCode, body: parsed })
      })
      response.on('error', () => resolve({ status: 0 }))
    })
    outgoing.on('timeout', () => outgoing.destroy())
    outgoing.on('error', () => resolve({ status: 0 }))
    outgoing.end(text)
  })
}

function toSettings ({ name, ip, zone, ports, seeds, store }) {
  return `node_name = "${name}"
role = "cell"
machine_class = "front"
serves = ["front","control_plane"]
ip = "${ip}"
zone = "${zone}"
region = "region"
internal_ports = [7720,7735]
seeds = ${JSON.stringify(seeds)}
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "call"
advice = ""
[zones]
${ZONES.map((other) => `${other} = "region"`).join('\n')}
[listen]
front = "${ip}:${ports.front}"
ready = "${ip}:${ports.ready}"
control = "${ip}:${ports.control}"
[limits]
cpu_share = 0.675
cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
hold_max_ms = 6000
stop_timeout_ms = 900
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
lease_ms = 3000
[platform]
address = "${store}"
form = "table"
writes_per_s = 600
reads_per_s = 2000
tx_ms = 8.0
part_writes_s = 150
row_bytes = 65536
across = false
history_s = 20
[cloud_api]
address = "${store}"
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
`
}
