/**
 * Stand-ins of the users' platform for the scripts of this review, on loopback: the store of rows, and servers that run
 * tasks. They follow PROTOCOL.md. Plain Node.js without packages, so that nothing has to be built.
 */
import { createServer } from 'node:http'

/** Steady clock, in ms. */
const now = () => performance.now()

/** Reads a JSON body. */
async function readJson (request) {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  const text = Buffer.concat(chunks).toString()
  return text === '' ? {} : JSON.parse(text)
}

function listen (handler, ip, port = 0) {
  const server = createServer(handler)
  server.keepAliveTimeout = 60_000
  return new Promise((resolve, reject) => server.once('error', reject).listen(port, ip, () => resolve(server)))
}

/** The platform's store of rows. A transaction takes `txMs`, and each part executes its transactions one by one. */
export class Store {
  rows = new Map()
  version = 0
  /** All changes, in order. */
  history = []
  #waiters = new Set()
  #busyUntil = new Map()
  #server

  constructor ({ answerMs = 4, txMs = 8 } = {}) {
    this.answerMs = answerMs
    this.txMs = txMs
  }

  async start (ip) {
    this.#server = await listen((request, response) => this.#handle(request, response), ip)
    this.address = `${ip}:${this.#server.address().port}`
  }

  stop () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /** Writes a row as the operator or a server does. */
  put (table, key, value) {
    this.#apply([{ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], [])
  }

  drop (table, key) {
    this.#apply([], [{ table, part: '', key }])
  }

  read (table, part, key) {
    const row = this.rows.get(JSON.stringify([table, part, key]))
    return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString())
  }

  #apply (writes, remove) {
    this.version++
    for (const row of writes) this.#change({ ...row, part: row.part ?? '', row_version: this.version })
    for (const row of remove) this.#change({ ...row, part: row.part ?? '', row_version: this.version, deleted: true })
    for (const waiter of [...this.#waiters]) waiter()
  }

  #change (row) {
    const name = JSON.stringify([row.table, row.part, row.key])
    if (row.deleted === true) this.rows.delete(name)
    else this.rows.set(name, row)
    this.history.push(row)
  }

  #answer (response, status, body) {
    response.statusCode = status
    response.setHeader('content-type', 'application/json')
    response.end(JSON.stringify({ ...body, row_version: this.version, now_ms: now() }))
  }

  async #handle (request, response) {
    const url = new URL(request.url, 'http://store')
    const query = url.searchParams
    if (url.pathname === '/v1/rows-tx') {
      const { expected_rev: expected = [], writes = [], remove = [] } = await readJson(request)
      const part = [...expected, ...writes, ...remove][0]?.part ?? ''
      const start = Math.max(now(), this.#busyUntil.get(part) ?? 0)
      if (start - now() > 1_000) return this.#answer(response, 429, {})
      this.#busyUntil.set(part, start + this.txMs)
      setTimeout(() => {
        const current = expected.map((row) => this.rows.get(JSON.stringify([row.table, row.part ?? '', row.key])) ??
          { table: row.table, part: row.part ?? '', key: row.key, row_version: 0, deleted: true })
        if (expected.length + writes.length + remove.length > 100) return this.#answer(response, 400, {})
        if (writes.some(({ value }) => Buffer.from(value, 'base64').length > 65_536)) return this.#answer(response, 400, {})
        if (current.some(({ row_version: version }, index) => version !== expected[index].row_version)) {
          return this.#answer(response, 412, { rows: current })
        }
        this.#apply(writes, remove)
        this.#answer(response, 200, { rows: [] })
      }, start + this.txMs - now() + this.answerMs)
      return
    }
    if (url.pathname === '/v1/rows-get') {
      setTimeout(() => {
        const from = query.get('from') ?? ''
        const target = query.get('target')
        const found = [...this.rows.values()].filter(({ table, part, key }) => table === query.get('table') &&
          part === (query.get('part') ?? '') && key >= from && (target === null || key < target))
        found.sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)))
        const page = found.slice(0, Math.min(500, Number(query.get('limit') ?? 500)))
        this.#answer(response, 200, { rows: page, truncated: page.length < found.length })
      }, this.answerMs)
      return
    }
    if (url.pathname === '/v1/rows-feed') {
      const after = Number(query.get('after') ?? 0)
      const find = () => this.history.filter(({ table, row_version: version }) =>
        table === query.get('table') && version > after)
      const deadline = now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0))
      while (find().length === 0 && now() < deadline && !response.destroyed) {
        await new Promise((resolve) => {
          const wake = () => {
            clearTimeout(timer)
            this.#waiters.delete(wake)
            resolve()
          }
          const timer = setTimeout(wake, deadline - now())
          this.#waiters.add(wake)
        })
      }
      setTimeout(() => this.#answer(response, 200, { rows: find() }), this.answerMs)
      return
    }
    response.statusCode = 404
    response.end()
  }
}

/** Most ends that one answer lists: PROTOCOL.md, "The others are returned again (500 at a time)". */
const ENDS_PER_ANSWER = 500

/**
 * A server that runs tasks. It starts whatever it is told to (`rejects_overload` false), keeps a lease, checks fencing
 * tokens, and stops or ends runs as PROTOCOL.md says. It is sound unless a script makes it otherwise.
 */
export class Server {
  running = new Map()
  ended = []
  /** Numbers of the ends by which the lease has lapsed after them. */
  #lapsedUpTo = 0
  #sequence = 0
  #highestRun = new Map()
  #token = 0
  #leaseUntil = 0
  #waiters = new Set()
  #heldSockets = new Set()
  #http
  #beat
  isCut = false
  /** While set, the server fails all that it runs and starts, after this time in ms; it still answers and registers. */
  #failAfterMs
  /** While set, starts get this status, as from an unhealthy server, which has then done nothing. */
  refuseStartsWith

  /**
   * @param log - Called with each event: start, end and note of an end.
   * @param plan - Returns the duration and end of a run.
   */
  constructor ({ id, store, service, zone, capacity, labels, log, plan }) {
    Object.assign(this, { id, store, service, zone, capacity, labels, log, plan })
    this.beats = 0
  }

  get clockMs () { return Math.round(now()) }

  /** Serves and registers. A later incarnation on the same machine takes the address of the one before. */
  async start (ip, port) {
    this.#http = await listen((request, response) => this.#handle(request, response), ip, port)
    this.address = `${ip}:${this.#http.address().port}`
    this.#register()
    this.#beat = setInterval(() => this.#register(), 1_500)
  }

  /** Crashes: nothing runs or is answered any more. The entry lapses after three heartbeats of silence. */
  crash () {
    this.log({ event: 'crash', server: this.id, running: this.running.size })
    this.isCrashed = true
    this.stop()
    this.running.clear()
    setTimeout(() => this.store.drop('servers', this.id), 4_500)
  }

  stop () {
    clearInterval(this.#beat)
    clearTimeout(this.leaseTimer)
    for (const run of this.running.values()) clearTimeout(run.timer)
    this.#http.closeAllConnections()
    this.#http.close()
  }

  #register () {
    this.beats++
    this.store.put('servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: '1',
      slots: 8,
      state: 'ready',
      sequence: this.beats,
      capacity: this.capacity,
      labels: this.labels
    })
  }

  /** Cuts the server off from all machines: nothing is answered. It runs on, and still reaches the store. */
  cut () {
    this.isCut = true
    this.log({ event: 'cut', server: this.id })
  }

  heal () {
    this.isCut = false
    this.log({ event: 'healed', server: this.id })
    // What was sent meanwhile is lost with its connections.
    for (const socket of this.#heldSockets) socket.destroy()
    this.#heldSockets.clear()
  }

  /** Makes the server fail all that it runs now and starts from now on. */
  failAll (afterMs) {
    this.log({ event: 'fails all', server: this.id })
    this.#failAfterMs = afterMs
    for (const state of [...this.running.values()]) this.#plan(state, { afterMs, how: 'failed' })
  }

  recover () {
    this.log({ event: 'recovered', server: this.id })
    this.#failAfterMs = undefined
  }

  #plan (state, { afterMs, how }) {
    clearTimeout(state.timer)
    state.timer = setTimeout(() => this.#end(state, how), afterMs)
  }

  async #handle (request, response) {
    const body = await readJson(request)
    if (this.isCut) {
      this.#heldSockets.add(request.socket)
      return
    }
    const answer = (status, content = {}) => {
      if (this.isCut) {
        this.#heldSockets.add(request.socket)
        return
      }
      response.statusCode = status
      response.setHeader('content-type', 'application/json')
      response.end(JSON.stringify({ clock_ms: this.clockMs, ...content }))
    }
    if (request.headers['x-gypsumspring-target-instance'] !== this.id) return answer(421)
    const token = body.fencing_token ?? 0
    if (token < this.#token) return answer(409, { reason: 'fence' })
    this.#token = token
    if (request.url === '/v1/hold') return await this.#hold(body, answer)
    if (request.url === '/v1/run-start') return this.#startRun(body, answer)
    if (request.url === '/v1/run-stop') return this.#stopRun(body, answer)
    if (request.url === '/v1/pace') return answer(200)
    answer(404)
  }

  async #hold (body, answer) {
    const { seen_upto: seen = 0, expires_ms: until, wait_ms: waitMs = 0 } = body
    this.#extendLease(until)
    const noted = this.ended.filter(([sequence]) => sequence <= seen)
    for (const [sequence, task, run, how] of noted) {
      this.log({ event: 'noted', server: this.id, sequence, task, run, how, lapsed: sequence <= this.#lapsedUpTo })
    }
    this.ended = this.ended.filter(([sequence]) => sequence > seen)
    const deadline = now() + Math.min(2_000, waitMs)
    while (this.ended.length === 0 && now() < deadline) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer)
          this.#waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, deadline - now())
        this.#waiters.add(wake)
      })
    }
    const running = [...this.running.values()].map(({ task, run, checkpoint, cpu }) =>
      [task, run, checkpoint, 100, cpu])
    answer(200, { running, ended: this.ended.slice(0, ENDS_PER_ANSWER) })
  }

  #extendLease (until) {
    if (until === undefined) return
    const end = Math.min(until, this.clockMs + 6_000)
    if (end <= this.#leaseUntil) return
    this.#leaseUntil = end
    clearTimeout(this.leaseTimer)
    this.leaseTimer = setTimeout(() => {
      this.log({ event: 'lease lapsed', server: this.id })
      this.#lapsedUpTo = this.#sequence
      for (const run of [...this.running.values()]) this.#end(run, 'lapsed')
    }, end - this.clockMs)
  }

  #startRun ({ task, run, spec, expires_ms: until, checkpoint = '' }, answer) {
    if (this.refuseStartsWith !== undefined) {
      this.log({ event: 'start refused', server: this.id, task, run, status: this.refuseStartsWith })
      return answer(this.refuseStartsWith)
    }
    this.#extendLease(until)
    if (this.running.get(task)?.run === run) return answer(200)
    if (run <= (this.#highestRun.get(task) ?? 0)) return answer(409, { reason: 'old' })
    if (until <= this.clockMs) return answer(409, { reason: 'late' })
    this.#highestRun.set(task, run)
    const state = { task, run, checkpoint, cpu: 0 }
    const failure = this.#failAfterMs === undefined ? undefined : { afterMs: this.#failAfterMs, how: 'failed' }
    this.#plan(state, failure ?? this.plan(task, run))
    this.running.set(task, state)
    this.log({ event: 'start', server: this.id, task, run, spec, checkpoint })
    answer(200)
  }

  #stopRun ({ task, run }, answer) {
    this.#highestRun.set(task, Math.max(run, this.#highestRun.get(task) ?? 0))
    const state = this.running.get(task)
    if (state !== undefined && state.run <= run) setTimeout(() => this.#end(state, 'stopped'), 200)
    answer(200)
  }

  #end (state, how) {
    if (this.running.get(state.task) !== state) return
    clearTimeout(state.timer)
    this.running.delete(state.task)
    this.ended.push([++this.#sequence, state.task, state.run, how, state.checkpoint])
    this.log({ event: 'end', server: this.id, sequence: this.#sequence, task: state.task, run: state.run, how })
    for (const waiter of [...this.#waiters]) waiter()
  }
}
