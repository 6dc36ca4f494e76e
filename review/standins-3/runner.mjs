/** Stand-in of a sound runner, with the calls of the pages: `hold`, `run-start`, `run-stop` and `pace`. */
import { createServer } from 'node:http'

const MAX_LISTED_ENDS = 500

export class Runner {
  #server = createServer((request, response) => this.#serve(request, response))
  #sockets = new Set()
  #bornAt = performance.now() - 500_000
  #token = 0
  #leaseEnd = 0
  #leaseTimer
  /** Runs by task. */
  #running = new Map()
  #ended = []
  #sequence = 0
  /** Highest run that was stopped or has ended here, by task. */
  #closed = new Map()
  #waiting = new Set()
  #beat
  #beats = 0

  /**
   * @param options.planRun - Returns how a run ends, as `{ how, afterMs }`; undefined if it lasts.
   * @param options.onEvent - Called with each start, end and order.
   */
  constructor (options) {
    Object.assign(this, {
      holdMaxMs: 6_000,
      stopMs: 100,
      saveMs: 500,
      heartbeatMs: 1_500,
      capacity: { cpu: 32_000, mem_mb: 65_536 },
      labels: ['a', 'r1'],
      born: Date.now(),
      planRun: () => ({ how: 'done', afterMs: 500 }),
      onEvent: () => {},
      fault: () => undefined,
      state: 'ready',
      remainingMs: undefined,
      ...options
    })
  }

  get clockMs () {
    return Math.round(performance.now() - this.#bornAt)
  }

  get token () {
    return this.#token
  }

  get runs () {
    return [...this.#running.values()]
  }

  async listen (host, port = 0) {
    this.#server.keepAliveTimeout = 60_000
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.setNoDelay(true)
      socket.once('close', () => this.#sockets.delete(socket))
    })
    await new Promise((resolve, reject) => this.#server.once('error', reject).listen(port, host, resolve))
    this.address = `${host}:${this.#server.address().port}`
    return this.address
  }

  /** Registers in the store, and keeps the entry fresh. */
  register () {
    this.writeEntry()
    this.#beat = setInterval(() => this.writeEntry(), this.heartbeatMs)
  }

  writeEntry () {
    this.store.put('servers', this.id, {
      service: this.service,
      address: this.registeredAddress ?? this.address,
      zone: this.zone,
      version: '1',
      slots: 8,
      state: this.state,
      sequence: ++this.#beats,
      born: this.born,
      capacity: this.capacity,
      labels: this.labels,
      ...this.remainingMs === undefined ? {} : { remaining_ms: this.remainingMs }
    })
  }

  /** Is cut off from all machines: connections are reset, and new ones are refused. What runs goes on. */
  cut () {
    clearInterval(this.#beat)
    for (const socket of this.#sockets) socket.destroy()
    this.#server.close()
  }

  /** Ends without a word, as in a crash: nothing that ran goes on. */
  crash () {
    clearInterval(this.#beat)
    clearTimeout(this.#leaseTimer)
    for (const run of this.#running.values()) clearTimeout(run.timer)
    this.#running.clear()
    for (const socket of this.#sockets) socket.destroy()
    this.#server.close()
    this.isGone = true
  }

  async #serve (request, response) {
    const chunks = []
    request.on('error', () => {})
    response.on('error', () => {})
    try {
      for await (const chunk of request) chunks.push(chunk)
    } catch {
      return
    }
    const body = JSON.parse(Buffer.concat(chunks).toString() || '{}')
    const path = new URL(request.url, 'http://runner').pathname
    const fault = this.fault({ path, body }) ?? {}
    if (fault.delayMs > 0) await new Promise((resolve) => setTimeout(resolve, fault.delayMs))
    if (this.isGone) return
    const target = request.headers['x-gypsumspring-target-instance']
    const [status, content] = target !== undefined && target !== this.id
      ? [421, {}]
      : await this.#handle(path, body)
    if (fault.drop) return request.socket.destroy()
    if (this.isGone || response.destroyed) return
    const text = JSON.stringify({ clock_ms: this.clockMs, ...content })
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    response.end(text)
  }

  async #handle (path, body) {
    const token = body.fencing_token ?? 0
    if (token < this.#token) return [409, { reason: 'fence' }]
    this.#token = token
    if (path === '/v1/hold') return await this.#hold(body)
    if (path === '/v1/run-start') return this.#start(body)
    if (path === '/v1/run-stop') return this.#stop(body)
    if (path === '/v1/pace') return [200, {}]
    return [404, {}]
  }

  async #hold ({ expires_ms: expires, seen_upto: seen = 0, wait_ms: waitMs = 0 }) {
    if (expires !== undefined) this.#renew(expires)
    const before = this.#ended.length
    this.#ended = this.#ended.filter(([sequence]) => sequence > seen)
    if (this.#ended.length < before) this.onEvent({ kind: 'seen', runner: this.id, upTo: seen })
    if (waitMs > 0 && this.#ended.length === 0) await this.#nextEnd(Math.min(2_000, waitMs))
    return [200, {
      born: this.born,
      running: [...this.#running.values()].map(({ task, run, spec, startedAt }) =>
        [task, run, this.#savedOf(startedAt), 100, 0]),
      ended: this.#ended.slice(0, MAX_LISTED_ENDS)
    }]
  }

  #savedOf () {
    return ''
  }

  #start (order) {
    const { task, run, spec, expires_ms: expires } = order
    const known = this.#running.get(task)
    if (known?.run === run) {
      this.#renew(expires)
      return [200, {}]
    }
    if (run <= (this.#closed.get(task) ?? 0) || run < (known?.run ?? 0)) {
      this.#renew(expires)
      return [409, { reason: 'old' }]
    }
    if (expires <= this.clockMs) return [409, { reason: 'late' }]
    this.#renew(expires)
    if (known !== undefined) this.onEvent({ kind: 'overlap', runner: this.id, task, run })
    const entry = { task, run, spec, startedAt: performance.now(), order }
    this.#running.set(task, entry)
    this.onEvent({ kind: 'start', runner: this.id, task, run, spec, token: order.fencing_token })
    const plan = this.planRun(entry, this)
    if (plan !== undefined) entry.timer = setTimeout(() => this.#end(entry, plan.how), plan.afterMs)
    return [200, {}]
  }

  #stop ({ task, run }) {
    const entry = this.#running.get(task)
    this.#closed.set(task, Math.max(this.#closed.get(task) ?? 0, run))
    this.onEvent({ kind: 'stop', runner: this.id, task, run })
    if (entry?.run === run && !entry.stopping) {
      entry.stopping = true
      setTimeout(() => this.#end(entry, 'stopped'), this.stopMs)
    }
    return [200, {}]
  }

  #end (entry, how) {
    if (this.isGone || this.#running.get(entry.task) !== entry) return
    clearTimeout(entry.timer)
    this.#running.delete(entry.task)
    this.#closed.set(entry.task, Math.max(this.#closed.get(entry.task) ?? 0, entry.run))
    this.#ended.push([++this.#sequence, entry.task, entry.run, how, ''])
    this.onEvent({ kind: 'end', runner: this.id, task: entry.task, run: entry.run, how, sequence: this.#sequence })
    for (const wake of [...this.#waiting]) wake()
  }

  #renew (expires) {
    const end = Math.min(expires, this.clockMs + this.holdMaxMs)
    if (end <= this.#leaseEnd) return
    this.#leaseEnd = end
    clearTimeout(this.#leaseTimer)
    this.#leaseTimer = setTimeout(() => this.#lapse(), Math.max(0, end - this.clockMs))
  }

  #lapse () {
    for (const entry of [...this.#running.values()]) this.#end(entry, 'lapsed')
  }

  #nextEnd (timeoutMs) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer)
        this.#waiting.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, timeoutMs)
      this.#waiting.add(wake)
    })
  }
}
