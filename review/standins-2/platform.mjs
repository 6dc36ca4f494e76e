/**
 * A small stand-in of the platform: the store of rows and the runners, each with an HTTP server on loopback. It follows
 * PROTOCOL.md; what a page leaves open is done as a sound server would.
 */
import { createServer } from 'node:http'

/** Time of a transaction and of a read, in ms. */
const TX_MS = 8
const READ_MS = 2

/** Longest lease, in ms, and time that a stop takes. */
export const HOLD_MAX_MS = 6_000
const STOP_MS = 100

/** Most ends in one answer. */
const MAX_LISTED_ENDS = 500

/** Time between the beats of a runner, in ms. */
const BEAT_MS = 1_500

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

function readJson (request) {
  return new Promise((resolve, reject) => {
    const pieces = []
    request.on('data', (piece) => pieces.push(piece))
    request.on('end', () => {
      try {
        resolve(JSON.parse(Buffer.concat(pieces).toString() || '{}'))
      } catch (error) { reject(error) }
    })
    request.on('error', reject)
  })
}

function send (response, status, body) {
  if (response.destroyed) return
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

/** Starts an HTTP server on a port of 127.0.0.1, by default a free one. Returns it with its address. */
export async function serve (handle, port = 0) {
  const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
    request.on('error', () => {})
    response.on('error', () => {})
    handle(request, response).catch(() => response.destroy())
  })
  await new Promise((resolve) => server.listen(port, '127.0.0.1', resolve))
  return { server, address: `127.0.0.1:${server.address().port}` }
}

/** Lets a number of calls a second through; what was not used of the last second may be made up. */
class Rate {
  #perS
  #left
  #at = performance.now()

  constructor (perS) {
    this.#perS = this.#left = perS
  }

  take () {
    const now = performance.now()
    this.#left = Math.min(this.#perS, this.#left + (now - this.#at) * this.#perS / 1_000)
    this.#at = now
    if (this.#left < 1) return false
    this.#left--
    return true
  }
}

/** The platform's store: rows with versions from one counter. Its answers are linearizable. */
export class Store {
  #writes
  #reads
  refused = 0

  constructor ({ writesPerS = 600, readsPerS = 2_000 } = {}) {
    this.#writes = new Rate(writesPerS)
    this.#reads = new Rate(readsPerS)
  }

  #version = 1
  #rows = new Map()
  #changes = []
  #waiters = new Set()
  #startedAt = performance.now()
  address = ''
  calls = 0
  /** While set, the store answers nothing; it carries out the writes that it has received this much later, in ms. */
  silentFor = undefined

  async open () {
    const { server, address } = await serve((request, response) => this.#handle(request, response))
    this.server = server
    this.address = address
  }

  close () {
    this.server.closeAllConnections()
    this.server.close()
  }

  get #answer () {
    return { row_version: this.#version, now_ms: Math.floor(performance.now() - this.#startedAt) }
  }

  #find ({ table, part, key }) {
    return this.#rows.get(JSON.stringify([table, part ?? '', key]))
  }

  /** Writes rows as the operator or a runner does. */
  apply (writes, remove = []) {
    const version = ++this.#version
    for (const { table, part = '', key, value } of writes) {
      const row = { table, part, key, value, row_version: version }
      this.#rows.set(JSON.stringify([table, part, key]), row)
      this.#changes.push(row)
    }
    for (const { table, part = '', key } of remove) {
      if (this.#rows.delete(JSON.stringify([table, part, key]))) {
        this.#changes.push({ table, part, key, row_version: version, deleted: true })
      }
    }
    for (const wake of this.#waiters) wake()
    return version
  }

  putJson (table, key, value) {
    this.apply([{ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }])
  }

  remove (table, key) {
    this.apply([], [{ table, key }])
  }

  getJson (table, part, key) {
    const row = this.#find({ table, part, key })
    return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString())
  }

  count (table) {
    let count = 0
    for (const row of this.#rows.values()) if (row.table === table) count++
    return count
  }

  async #handle (request, response) {
    this.calls++
    if (this.silentFor !== undefined) {
      if (request.method !== 'POST') return
      const body = await readJson(request)
      setTimeout(() => this.#transact(body, { destroyed: true }), this.silentFor)
      return
    }
    const isAllowed = (request.method === 'POST' ? this.#writes : this.#reads).take()
    if (!isAllowed) {
      this.refused++
      request.resume()
      return send(response, 429, {})
    }
    const url = new URL(request.url, 'http://store')
    const query = Object.fromEntries(url.searchParams)
    if (request.method === 'POST' && url.pathname === '/v1/rows-tx') {
      return this.#transact(await readJson(request), response)
    }
    if (url.pathname === '/v1/rows-get') return await this.#get(query, response)
    if (url.pathname === '/v1/rows-feed') return await this.#feed(query, response)
    if (url.pathname === '/v1/rows-parts') {
      const parts = [...new Set([...this.#rows.values()].filter(({ table }) => table === query.table)
        .map(({ part }) => part))].sort().filter((part) => part > (query.after ?? '')).slice(0, 1_000)
      return send(response, 200, { parts, ...this.#answer })
    }
    send(response, 404, {})
  }

  async #transact ({ expected_rev: expected = [], writes = [], remove = [] }, response) {
    await sleep(TX_MS)
    const entries = [...expected, ...writes, ...remove]
    const parts = new Set(entries.map(({ part }) => part ?? ''))
    const isTooLarge = writes.some(({ value }) => Buffer.from(value, 'base64').length > 65_536)
    if (entries.length > 100 || parts.size > 1 || isTooLarge) return send(response, 400, {})
    if (writes.concat(remove).some(({ table }) => table === 'op' || table === 'servers')) return send(response, 403, {})
    const isMet = expected.every((row) => (this.#find(row)?.row_version ?? 0) === row.row_version)
    if (!isMet) {
      const rows = expected.flatMap((row) => this.#find(row) ?? [])
      return send(response, 412, { rows, ...this.#answer })
    }
    this.apply(writes, remove)
    send(response, 200, this.#answer)
  }

  async #get ({ table, part = '', from = '', target, limit = '500' }, response) {
    await sleep(READ_MS)
    const found = [...this.#rows.values()].filter((row) => row.table === table && row.part === part &&
      row.key >= from &&
      (target === undefined || row.key < target)).sort((a, b) => a.key < b.key ? -1 : 1)
    const rows = found.slice(0, Math.min(500, Number(limit)))
    send(response, 200, { rows, truncated: rows.length < found.length, ...this.#answer })
  }

  async #feed ({ table, after = '0', wait_ms: waitMs = '0' }, response) {
    const deadline = performance.now() + Number(waitMs)
    for (;;) {
      if (this.silentFor !== undefined) return
      const rows = this.#changes.filter((row) => row.table === table && row.row_version > Number(after))
      const remainingMs = deadline - performance.now()
      if (rows.length > 0 || remainingMs <= 0) return send(response, 200, { rows, ...this.#answer })
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer)
          this.#waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, remainingMs)
        this.#waiters.add(wake)
      })
    }
  }
}

/**
 * One life of a runner. A task's `spec` tells as JSON how long it runs (`ms`) and how it ends (`how`, done by default).
 * Everything that runs holds a lease on the runner's own clock.
 */
export class Runner {
  #store
  #record
  #runs = new Map()
  #highestRuns = new Map()
  #ended = []
  #sequence = 0
  #token = 0
  #leaseUntil = 0
  #waiters = new Set()
  #startedAt = performance.now()
  #clockOffset = 100_000 + Math.floor(Math.random() * 400_000)
  #beats = 0
  #isOpen = true
  /** Start of this life, in Unix ms. */
  born = Date.now()
  state = 'ready'
  /** Answers 503 to starts, and does nothing, while set. */
  refusesStarts = false

  constructor (store, record, { id, service, zone, capacity, labels }) {
    this.#store = store
    this.#record = record
    Object.assign(this, { id, service, zone, capacity, labels })
  }

  /**
   * @param port - Port to listen on. Default: a free one.
   * @param firstBeatMs - Time from the start to the first beat, in ms.
   */
  async open ({ port, firstBeatMs = 0 } = {}) {
    const { server, address } = await serve((request, response) => this.#handle(request, response), port)
    this.server = server
    this.address = address
    this.firstBeat = setTimeout(() => {
      this.#beat()
      this.timer = setInterval(() => this.#beat(), BEAT_MS)
    }, firstBeatMs)
    this.leaseTimer = setInterval(() => this.#checkLease(), 10)
  }

  close () {
    this.#isOpen = false
    clearTimeout(this.firstBeat)
    clearInterval(this.timer)
    clearInterval(this.leaseTimer)
    for (const { timer } of this.#runs.values()) clearTimeout(timer)
    this.server.closeAllConnections()
    this.server.close()
  }

  get clockMs () {
    return Math.floor(performance.now() - this.#startedAt) + this.#clockOffset
  }

  /** Names and runs of the tasks that run here. */
  get running () {
    return [...this.#runs.entries()].map(([task, { run }]) => ({ task, run }))
  }

  #beat () {
    const { service, address, zone, state, capacity, labels } = this
    this.#store.putJson('servers', this.id, {
      service,
      address,
      zone,
      version: 'v1',
      slots: 8,
      state,
      cold_left_ms: 0,
      capacity,
      labels,
      born: this.born,
      clock_ms: this.clockMs,
      sequence: ++this.#beats
    })
  }

  #checkLease () {
    if (this.clockMs < this.#leaseUntil) return
    for (const task of [...this.#runs.keys()]) this.#end(task, 'lapsed')
  }

  #extend (expiresMs) {
    if (expiresMs === undefined) return
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(expiresMs, this.clockMs + HOLD_MAX_MS))
  }

  #end (task, how) {
    const known = this.#runs.get(task)
    if (known === undefined) return
    clearTimeout(known.timer)
    this.#runs.delete(task)
    this.#ended.push([++this.#sequence, task, known.run, how, ''])
    this.#record('ended', { runner: this.id, task, run: known.run, how })
    for (const wake of this.#waiters) wake()
  }

  async #handle (request, response) {
    const body = request.method === 'POST' ? await readJson(request) : {}
    if (!this.#isOpen) return response.destroy()
    if (request.url === '/health') return send(response, 200, {})
    if (request.headers['x-gypsumspring-target-instance'] !== this.id) {
      return send(response, 421, { clock_ms: this.clockMs })
    }
    const token = body.fencing_token ?? 0
    if (token < this.#token) return send(response, 409, { clock_ms: this.clockMs, reason: 'fence' })
    if (request.url === '/v1/run-start' && this.refusesStarts) {
      this.#record('refused', { runner: this.id, task: body.task, run: body.run })
      return send(response, 503, { clock_ms: this.clockMs })
    }
    this.#token = token
    if (request.url === '/v1/hold') return await this.#hold(body, response)
    if (request.url === '/v1/run-start') return this.#start(body, response)
    if (request.url === '/v1/run-stop') return this.#stop(body, response)
    if (request.url === '/v1/pace') return send(response, 200, { clock_ms: this.clockMs })
    send(response, 404, {})
  }

  async #hold ({ expires_ms: expiresMs, seen_upto: seenUpto = 0, wait_ms: waitMs = 0 }, response) {
    this.#extend(expiresMs)
    this.#ended = this.#ended.filter(([sequence]) => sequence > seenUpto)
    if (this.#ended.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer)
          this.#waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, Math.min(2_000, waitMs))
        this.#waiters.add(wake)
      })
    }
    const running = [...this.#runs].map(([task, { run }]) => [task, run, '', 100, 0])
    const ended = this.#ended.slice(0, MAX_LISTED_ENDS)
    send(response, 200, { clock_ms: this.clockMs, born: this.born, running, ended })
  }

  #start ({ task, run, spec, expires_ms: expiresMs }, response) {
    this.#extend(expiresMs)
    const refuse = (reason) => send(response, 409, { clock_ms: this.clockMs, reason })
    if (this.#runs.get(task)?.run === run) return send(response, 200, { clock_ms: this.clockMs })
    if (run <= (this.#highestRuns.get(task) ?? 0)) return refuse('old')
    if (expiresMs <= this.clockMs) return refuse('late')
    this.#highestRuns.set(task, run)
    const { ms, how = 'done' } = parsePlan(spec)
    const timer = setTimeout(() => this.#end(task, how), ms)
    this.#runs.set(task, { run, timer })
    this.#record('started', { runner: this.id, task, run })
    send(response, 200, { clock_ms: this.clockMs })
  }

  #stop ({ task, run }, response) {
    this.#highestRuns.set(task, Math.max(run, this.#highestRuns.get(task) ?? 0))
    const known = this.#runs.get(task)
    if (known !== undefined && known.run <= run) {
      setTimeout(() => { if (this.#runs.get(task) === known) this.#end(task, 'stopped') }, STOP_MS)
    }
    send(response, 200, { clock_ms: this.clockMs })
  }
}

function parsePlan (spec) {
  try {
    const { ms = 500, how } = JSON.parse(spec)
    return { ms, how }
  } catch {
    return { ms: 500 }
  }
}
