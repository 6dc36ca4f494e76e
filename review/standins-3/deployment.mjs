/** A small deployment on loopback: processes of the project, the platform's store, runners, and calls of clients. */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, request as httpRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Proxy } from './proxy.mjs'
import { Runner } from './runner.mjs'
import { Store } from './store.mjs'

const FRONT_PORT = 8161
const CONTROL_PORT = 8166
const READY_PORT = 8167

/** Processes and open files of one run of a script. */
export class Deployment {
  store = new Store()
  runners = []
  nodes = []
  /** Processes of stand-ins. */
  helpers = []
  events = []
  startedAt = performance.now()
  #directory = mkdtempSync(join(tmpdir(), 'review-3-'))
  /** Processes of different scripts use different loopback addresses. */
  #network = `127.${process.pid % 200 + 20}`
  #record
  #agents = []

  /** @param options.folder - Folder of the case, for `record.txt`. */
  constructor (options) {
    this.options = { nodes: 3, runners: 6, service: 'pool', zones: ['za', 'zb', 'zc'], settings: {}, runnerOptions: () => ({}), ...options }
    this.#record = join(options.folder, 'record.txt')
    writeFileSync(this.#record, '')
    for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => this.finish(2, `ended by ${signal}`))
    process.on('uncaughtException', (error) => this.finish(2, `the script failed: ${error.stack}`))
    process.on('unhandledRejection', (error) => this.finish(2, `the script failed: ${error?.stack ?? error}`))
    setTimeout(() => this.finish(2, 'the script took longer than 118 s'), 118_000).unref()
  }

  get now () {
    return performance.now() - this.startedAt
  }

  /** Writes a line of the record. */
  note (text) {
    appendFileSync(this.#record, `${(this.now / 1000).toFixed(3).padStart(8)} ${text}\n`)
  }

  async start (configuration) {
    const { nodes, runners, zones } = this.options
    this.storeAddress = await this.store.listen(`${this.#network}.1.1`)
    this.store.put('op', 'config', configuration)
    for (let index = 0; index < runners; index++) await this.addRunner(index)
    const ips = Array.from({ length: nodes }, (_, index) => `${this.#network}.2.${index + 1}`)
    for (const [index, ip] of ips.entries()) {
      const node = new Node(this, { name: `front-${index + 1}`, ip, zone: zones[index % zones.length], seeds: ips.slice(0, 3) })
      node.storeLink = new Proxy(this.storeAddress)
      node.storeAddress = await node.storeLink.listen(ip)
      this.nodes.push(node)
    }
    for (const node of this.nodes) node.start()
    for (const node of this.nodes) {
      await this.until(`${node.name} is ready`, 20_000, async () => (await node.ready()) === 200)
    }
  }

  get directory () {
    return this.#directory
  }

  async addRunner (index, options = {}) {
    const { zones, service } = this.options
    const runner = new Runner({
      id: `runner${String(index).padStart(6, '0')}`,
      service,
      zone: zones[index % zones.length],
      store: this.store,
      onEvent: (event) => {
        event.at = this.now
        this.events.push(event)
        this.onEvent?.(event)
      },
      ...this.options.runnerOptions(index),
      ...options
    })
    await runner.listen(`${this.#network}.3.${index + 1}`)
    runner.register()
    this.runners.push(runner)
    return runner
  }

  /** The node that the store shows as the owner of the cell. */
  findOwner () {
    const value = this.store.read('control', 'cell', 'owner')
    const name = value === undefined ? undefined : JSON.parse(value).node
    return this.nodes.find((node) => node.name === name)
  }

  async until (what, timeoutMs, check) {
    const deadline = performance.now() + timeoutMs
    for (;;) {
      const result = await check()
      if (result) return result
      if (performance.now() > deadline) this.finish(2, `could not run: ${what} did not come true in ${timeoutMs} ms`)
      await this.sleep(50)
    }
  }

  sleep (ms) {
    return new Promise((resolve) => setTimeout(resolve, ms))
  }

  /**
   * Makes a call as a client; resolves with status 0 when there is no complete answer in time.
   *
   * @param options.leaveMs - Time after which the client closes the connection. Default: 0.5 s after its deadline.
   */
  call (node, method, path, { body, host = 'jobs.example', deadlineMs = 3_000, headers = {}, agent, leaveMs } = {}) {
    const ip = typeof node === 'string' ? node : node.ip
    return new Promise((resolve) => {
      const sentAt = this.now
      let isOver = false
      const end = (status, text = '') => {
        if (isOver) return
        isOver = true
        clearTimeout(timer)
        resolve({ status, text, sentAt, tookMs: this.now - sentAt })
      }
      const content = body === undefined ? undefined : Buffer.from(typeof body === 'string' ? body : JSON.stringify(body))
      const request = httpRequest({
        host: ip,
        port: FRONT_PORT,
        method,
        path,
        agent: agent ?? false,
        headers: {
          host,
          'x-gypsumspring-deadline-ms': String(deadlineMs),
          ...content === undefined ? {} : { 'content-type': 'application/json', 'content-length': content.length },
          ...headers
        }
      }, (response) => {
        const chunks = []
        response.on('data', (chunk) => chunks.push(chunk))
        response.on('end', () => end(response.complete ? response.statusCode : 0, Buffer.concat(chunks).toString()))
        response.on('error', () => end(0))
        response.on('close', () => end(0))
      })
      const timer = setTimeout(() => {
        end(0)
        request.destroy()
      }, leaveMs ?? deadlineMs + 500)
      request.on('error', () => end(0))
      request.end(content)
    })
  }

  createAgent (maxSockets) {
    const agent = new Agent({ keepAlive: true, maxSockets })
    this.#agents.push(agent)
    return agent
  }

  /** Ends all processes that were started, and the script. */
  finish (code, verdict) {
    if (this.isOver) return
    this.isOver = true
    this.note(`verdict: exit ${code}: ${verdict}`)
    process.stdout.write(`exit ${code}: ${verdict}\n`)
    for (const node of this.nodes) node.end()
    for (const helper of this.helpers) helper.kill('SIGKILL')
    if (process.env.KEEP_LOGS === undefined) rmSync(this.#directory, { recursive: true, force: true })
    else process.stdout.write(`logs: ${this.#directory}\n`)
    process.exit(code)
  }
}

/** A process of the project, started with the command of the deploy file. */
class Node {
  log = []
  /** Exits that the script did not cause. */
  exits = []
  #child
  #deployment
  #killed = new WeakSet()

  constructor (deployment, { name, ip, zone, seeds }) {
    this.#deployment = deployment
    Object.assign(this, { name, ip, zone, seeds })
  }

  get pid () {
    return this.#child?.pid
  }

  get isUp () {
    return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null
  }

  get settingsPath () {
    return join(this.#deployment.directory, `${this.name}.toml`)
  }

  start () {
    writeFileSync(this.settingsPath, this.#settings())
    const [program, ...args] = readCommand()
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, args, {
      env: { PATH, HOME, LANG, GYPSUMSPRING_SETTINGS: this.settingsPath },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    this.#child = child
    const keep = (data) => {
      const text = data.toString()
      this.log.push(text)
      if (process.env.KEEP_LOGS !== undefined) appendFileSync(join(this.#deployment.directory, `${this.name}.log`), text)
    }
    child.stdout.on('data', keep)
    child.stderr.on('data', keep)
    child.once('exit', (code, signal) => {
      if (this.#killed.has(child) || this.#deployment.isOver) return
      this.exits.push({ at: this.#deployment.now, code, signal })
      this.#deployment.note(`${this.name} ended by itself: code ${code}, signal ${signal}`)
      this.onExit?.()
    })
    return child
  }

  signal (name) {
    if (name === 'SIGKILL') this.#killed.add(this.#child)
    this.#child.kill(name)
  }

  /** Sends SIGTERM, and SIGKILL after the grace, as the platform does. */
  async terminate (graceMs = 6_000) {
    const child = this.#child
    this.#killed.add(child)
    child.kill('SIGTERM')
    const timer = setTimeout(() => child.kill('SIGKILL'), graceMs)
    if (this.isUp) await new Promise((resolve) => child.once('exit', resolve))
    clearTimeout(timer)
  }

  async kill () {
    const child = this.#child
    if (!this.isUp) return
    this.#killed.add(child)
    const gone = new Promise((resolve) => child.once('exit', resolve))
    child.kill('SIGKILL')
    await gone
  }

  /** Resident memory in MB. */
  get residentMb () {
    try {
      return Number(readFileSync(`/proc/${this.pid}/status`, 'utf8').match(/VmRSS:\s+(\d+)/)?.[1] ?? 0) / 1024
    } catch {
      return 0
    }
  }

  async ready () {
    return await new Promise((resolve) => {
      const request = httpRequest({ host: this.ip, port: READY_PORT, path: '/v1/ready', agent: false }, (response) => {
        response.resume()
        resolve(response.statusCode)
      })
      request.setTimeout(900, () => request.destroy())
      request.on('error', () => resolve(0))
      request.end()
    })
  }

  end () {
    if (this.isUp) this.#child.kill('SIGKILL')
  }

  #settings () {
    const { settings, zones } = this.#deployment.options
    const bounds = {
      seed_lag_s: 3,
      addr_reuse_s: 2,
      contact_ms: 3000,
      ack_ms: 4000,
      catch_up_s: 4,
      drain_ms: 2000,
      grace_s: 6,
      loss_slack_ms: 200,
      config_apply_ms: 2000,
      rollback_slack_ms: 250,
      max_stretch_ms: 5000,
      recovery_s: 12,
      hold_max_ms: 6000,
      stop_timeout_ms: 900,
      gang_timeout_ms: 3000,
      cancel_ms: 3000,
      visible_ms: 3000,
      early_ms: 250,
      finish_s: 14,
      status_s: 120,
      spread_factor: 3,
      checkpoint_s: 0.5,
      restore_ms: 600,
      notice_ms: 4500,
      move_s: 1.5,
      maintenance_s: 2,
      require_fencing: true,
      lease_ms: 3000,
      thaw_slack_ms: 300,
      pace_ms: 100,
      harm_ms: 4000,
      ...settings.bounds
    }
    const machine = { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0 }
    const limits = { ...machine, ...settings.limits }
    const table = (name, fields) => `[${name}]\n${Object.entries(fields).map(([key, value]) => `${key} = ${JSON.stringify(value)}`).join('\n')}\n`
    return [
      `node_name = "${this.name}"`,
      'role = "cell"',
      'machine_class = "front"',
      'serves = ["front","control_plane"]',
      `ip = "${this.ip}"`,
      `zone = "${this.zone}"`,
      'region = "region"',
      'internal_ports = [7720,7735]',
      `seeds = ${JSON.stringify(this.seeds.map((ip) => `${ip}:${CONTROL_PORT}`))}`,
      'bootstrap = true',
      'counts_as_loss = true',
      'discovery = "platform"',
      'entry = "vip"',
      'heartbeat_ms = 1500',
      'contracts = ["base","drain","config","cost","recover","sched","platform"]',
      'orders = "call"',
      `advice = "${settings.advice ?? ''}"`,
      table('zones', Object.fromEntries(zones.map((zone) => [zone, 'region']))),
      table('listen', { front: `${this.ip}:${FRONT_PORT}`, ready: `${this.ip}:${READY_PORT}`, control: `${this.ip}:${CONTROL_PORT}` }),
      table('limits', limits),
      table('fault_tolerance', { machines: 1, zones: 1, regions: 0 }),
      table('bounds', bounds),
      table('platform', {
        address: this.storeAddress,
        form: 'table',
        writes_per_s: 600,
        reads_per_s: 2000,
        tx_ms: 8.0,
        part_writes_s: 150,
        row_bytes: 65536,
        across: false,
        history_s: 20,
        blob_bytes: 8388608,
        blob_ms: 25.0,
        blob_mb_s: 80.0
      })
    ].join('\n')
  }
}

/** The words of `run` in the deploy file. */
function readCommand () {
  const line = readFileSync('deploy/system.toml', 'utf8').match(/^run = "(.*)"$/m)
  return line[1].split(' ')
}

/** A configuration with one queue. */
export function createConfiguration (options = {}) {
  return {
    version: 11,
    routes: [{
      name: 'queue-a', host: 'jobs.example', path_prefix: '/a/', service: 'pool', priority: 0, max_attempts: 3, stretch: 2, target_latency_ms: 500, timeout_ms: 3000
    }],
    services: [{ name: 'pool' }],
    limits: { max_body_bytes: 262144 },
    ...options
  }
}
