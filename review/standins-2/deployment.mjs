/** A small deployment: store, runners and nodes, with the helpers that the cases share. */
import { Nodes, call } from './nodes.mjs'
import { Runner, Store, sleep } from './platform.mjs'
import { Record } from './record.mjs'

export const SERVICE = 'svc'
export const HOST = 'jobs.example'

/** Exit codes of a case. */
export const HELD = 0
export const BROKEN = 1
export const NOT_RUN = 2

/** Longest time of a case, in ms. */
const MAX_CASE_MS = 118_000

let lastId = 0
const prefix = Math.floor(Math.random() * 0xffffffff).toString(16).padStart(8, '0')

/** A new job id: 16 hexadecimal digits. */
export function createId () {
  return prefix + (++lastId).toString(16).padStart(8, '0')
}

export class Deployment {
  runners = []
  store = new Store()

  /** All starts and ends of tasks on the runners, with the time in s. */
  started = []
  ended = []

  constructor (recordPath) {
    this.record = new Record(recordPath)
    this.write = (what, fields) => {
      const event = { ...fields, at: this.record.seconds }
      if (what === 'started') this.started.push(event)
      if (what === 'ended') this.ended.push(event)
      this.record.write(what, fields)
    }
  }

  /**
   * Starts the store, the runners and the nodes, and waits until all nodes are ready.
   *
   * @param routes - Fields of the routes that differ from the usual ones.
   * @param runners - Labels and capacity of each runner.
   * @param zones - Zone of each node.
   */
  async open ({ routes, runners, zones, memoryMb }) {
    await this.store.open()
    this.store.putJson('op', 'config', {
      version: 3,
      routes: routes.map((route, index) => ({
        name: `r-${index}`,
        host: HOST,
        path_prefix: `/q${index}/`,
        kind: 'non_idempotent',
        timeout_ms: 3_000,
        target_latency_ms: 250,
        priority: 0,
        service: SERVICE,
        max_attempts: 3,
        stretch: 2,
        ...route
      })),
      services: [{
        name: SERVICE,
        health_path: '/health',
        max_conns: 64,
        protocol: 'h1',
        tls: false,
        rejects_overload: false,
        standby: false
      }],
      limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
    })
    for (const [index, { labels = ['a', 'r1-1'], capacity = { cpu: 32_000, mem_mb: 65_536, gpu: 0 } }] of
      runners.entries()) {
      const runner = new Runner(this.store, this.write, {
        id: `i-${(0x10000000 + index).toString(16)}`, service: SERVICE, zone: zones[index % zones.length], labels, capacity
      })
      await runner.open()
      this.runners.push(runner)
    }
    this.nodes = new Nodes(this.store.address, { memoryMb })
    this.nodes.onEnd = ({ name, log }, code, signal, byTest) => {
      const last = byTest ? '' : log.findLast((line) => line.includes('FATAL ERROR')) ?? ''
      this.write('process ended', { name, code, signal, byTest, last })
    }
    await this.nodes.create([...zones])
    for (const node of this.nodes.nodes) this.nodes.start(node)
    const deadline = performance.now() + 15_000
    while (performance.now() < deadline) {
      const ready = await Promise.all(this.nodes.nodes.map((node) =>
        call(node, 'GET', '/v1/ready', { port: node.ready, timeoutMs: 500 })))
      if (ready.every(({ status }) => status === 200) && this.findOwner() !== undefined) {
        await sleep(1_000)
        return true
      }
      await sleep(100)
    }
    return false
  }

  /** The node that the product's own row names as the owner; used only to choose which process to disturb. */
  findOwner () {
    const name = this.store.getJson('control', 'cell', 'owner')?.node
    return this.nodes.nodes.find((node) => node.name === name)
  }

  async post (node, path, body, options = {}) {
    const answer = await call(node, 'POST', path, { routeHost: HOST, body, ...options })
    if (options.isQuiet !== true) this.write('POST', { node: node.name, path, body, status: answer.status })
    return answer
  }

  async get (node, path, options = {}) {
    const answer = await call(node, 'GET', path, { routeHost: HOST, ...options })
    this.write('GET', { node: node.name, path, status: answer.status, body: answer.body ?? answer.error })
    return answer
  }

  async delete (node, path) {
    const answer = await call(node, 'DELETE', path, { routeHost: HOST })
    this.write('DELETE', { node: node.name, path, status: answer.status })
    return answer
  }

  async close () {
    await this.nodes?.stop()
    for (const runner of this.runners) runner.close()
    this.store.close()
    this.record.close()
  }
}

/** Runs a case and exits with its result. */
export async function runCase (recordPath, play) {
  const deployment = new Deployment(recordPath)
  let result = NOT_RUN
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
    process.once(signal, () => deployment.close().finally(() => process.exit(NOT_RUN)))
  }
  const timeout = sleep(MAX_CASE_MS).then(() => {
    deployment.record.say('the case took too long')
    return NOT_RUN
  })
  try {
    result = await Promise.race([play(deployment, process.env.TROUBLE !== '0'), timeout])
  } catch (error) {
    deployment.record.say(`the case could not run: ${error.stack}`)
  }
  await deployment.close().catch(() => {})
  process.exit(result)
}
