/**
 * Stand-in of the platform's store, with the calls of the pages: `rows-tx`, `rows-get`, `rows-parts` and `rows-feed`.
 * It loses nothing that it has acknowledged, and its answers are linearizable.
 */
import { createServer } from 'node:http'

const ANSWER_MS = 4
const TRANSACTION_MS = 8
const MAX_PART_QUEUE_MS = 1_000
const PART_INTERVAL_MS = 1_000 / 150
const ROW_BYTES = 65_536
const MAX_ENTRIES = 100
const MAX_BODY_BYTES = 1_000_000
const MAX_PAGE_ROWS = 500
const MAX_PAGE_BYTES = 1_000_000

export class Store {
  /** Rows by table, part and key. */
  #tables = new Map()
  /** All changes, by table, in order. */
  #changes = new Map()
  #version = 0
  #busyUntil = new Map()
  #waiting = new Set()
  #server = createServer((request, response) => this.#serve(request, response))
  #sockets = new Set()
  /**
   * Decides how a call is treated: undefined (as usual), or an object with `delayMs` (added to the usual time),
   * `refuse` (a status; nothing is done), or `drop` (the connection is closed without an answer, and unless `apply` is
   * false the call is done).
   */
  fault = () => undefined
  /** How many times as long as usual calls take. A transaction takes effect at its end. */
  slowness = 1
  /** Calls per second of all nodes together; further ones are refused. */
  writesPerS = 600
  readsPerS = 2_000
  writes = 0
  reads = 0
  refusals = 0
  #buckets = { write: { left: 600, at: 0 }, read: { left: 2_000, at: 0 } }

  async listen (host) {
    this.#server.keepAliveTimeout = 60_000
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.setNoDelay(true)
      socket.once('close', () => this.#sockets.delete(socket))
    })
    await new Promise((resolve, reject) => this.#server.once('error', reject).listen(0, host, resolve))
    return `${host}:${this.#server.address().port}`
  }

  close () {
    for (const socket of this.#sockets) socket.destroy()
    this.#server.close()
  }

  /** Writes a row as the operator or a runner does. */
  put (table, key, value, part = '') {
    const content = typeof value === 'string' ? value : JSON.stringify(value)
    this.#write([{ table, part, key, value: Buffer.from(content).toString('base64') }], [])
  }

  remove (table, key, part = '') {
    this.#write([], [{ table, part, key }])
  }

  read (table, part, key) {
    const row = this.#part(table, part).get(key)
    return row === undefined ? undefined : Buffer.from(row.value, 'base64').toString()
  }

  list (table, part) {
    return [...this.#part(table, part).values()]
  }

  count (table) {
    let count = 0
    for (const part of this.#tables.get(table)?.values() ?? []) count += part.size
    return count
  }

  #part (table, part) {
    if (!this.#tables.has(table)) this.#tables.set(table, new Map())
    const parts = this.#tables.get(table)
    if (!parts.has(part)) parts.set(part, new Map())
    return parts.get(part)
  }

  #write (writes, removes) {
    this.#version++
    const record = (row) => {
      if (!this.#changes.has(row.table)) this.#changes.set(row.table, [])
      this.#changes.get(row.table).push(row)
    }
    for (const { table, part, key, value } of writes) {
      const row = { table, part, key, value, row_version: this.#version }
      this.#part(table, part).set(key, row)
      record(row)
    }
    for (const { table, part, key } of removes) {
      if (this.#part(table, part).delete(key)) record({ table, part, key, row_version: this.#version, deleted: true })
    }
    for (const wake of [...this.#waiting]) wake()
  }

  get #base () {
    return { row_version: this.#version, now_ms: Math.round(performance.now()) + 7_000_000 }
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
    const url = new URL(request.url, 'http://store')
    const isWrite = url.pathname === '/v1/rows-tx'
    const body = isWrite ? JSON.parse(Buffer.concat(chunks).toString()) : undefined
    if (isWrite) this.writes++
    else this.reads++
    const fault = this.fault({ request, path: url.pathname, query: url.searchParams, body }) ?? {}
    const send = (status, content) => {
      if (response.destroyed) return
      const text = JSON.stringify(content)
      response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
      response.end(text)
    }
    await sleep(this.slowness * ANSWER_MS / 2 + (fault.delayMs ?? 0))
    if (!this.#takeCall(isWrite ? 'write' : 'read', isWrite ? this.writesPerS : this.readsPerS)) return send(429, {})
    if (fault.refuse !== undefined) return send(fault.refuse, {})
    if (fault.drop && fault.apply === false) return request.socket.destroy()
    const answer = isWrite
      ? await this.#transact(body, Buffer.concat(chunks).length)
      : await this.#answerRead(url.pathname, url.searchParams)
    if (fault.drop) return request.socket.destroy()
    await sleep(this.slowness * ANSWER_MS / 2)
    send(answer[0], answer[1])
  }

  #takeCall (kind, perS) {
    const bucket = this.#buckets[kind]
    const now = performance.now()
    bucket.left = Math.min(perS, bucket.left + (now - bucket.at) / 1_000 * perS)
    bucket.at = now
    if (bucket.left < 1) {
      this.refusals++
      return false
    }
    bucket.left--
    return true
  }

  async #transact ({ expected_rev: expected = [], writes = [], remove = [] }, bytes) {
    const entries = [...expected, ...writes, ...remove]
    const parts = new Set(entries.map(({ part = '' }) => part))
    if (entries.length === 0 || entries.length > MAX_ENTRIES) return [400, {}]
    if (bytes > MAX_BODY_BYTES || parts.size > 1) return [400, {}]
    if (writes.some(({ value }) => Buffer.byteLength(value, 'base64') > ROW_BYTES)) return [400, {}]
    if ([...writes, ...remove].some(({ table }) => table === 'op' || table === 'servers')) return [403, {}]
    const [part] = parts
    const now = performance.now()
    const startAt = Math.max(now, this.#busyUntil.get(part) ?? 0)
    if (startAt - now > MAX_PART_QUEUE_MS) return [429, {}]
    this.#busyUntil.set(part, startAt + PART_INTERVAL_MS)
    await sleep(startAt - now + this.slowness * TRANSACTION_MS)
    const current = expected.map(({ table, key }) =>
      this.#part(table, part).get(key) ?? { table, part, key, row_version: 0 })
    if (current.some(({ row_version: version }, index) => version !== expected[index].row_version)) {
      return [412, { ...this.#base, rows: current }]
    }
    this.#write(writes.map((row) => ({ part: '', ...row })), remove.map((row) => ({ part: '', ...row })))
    return [200, this.#base]
  }

  async #answerRead (path, query) {
    const table = query.get('table') ?? ''
    if (path === '/v1/rows-get') {
      const from = query.get('from') ?? ''
      const target = query.get('target')
      const limit = Math.min(MAX_PAGE_ROWS, Number(query.get('limit') ?? MAX_PAGE_ROWS))
      const found = [...this.#part(table, query.get('part') ?? '').values()]
        .filter(({ key }) => key >= from && (target === null || key < target)).sort((a, b) => a.key < b.key ? -1 : 1)
      const rows = []
      let bytes = 0
      for (const row of found) {
        if (rows.length === limit || (rows.length > 0 && bytes + row.value.length > MAX_PAGE_BYTES)) break
        rows.push(row)
        bytes += row.value.length
      }
      return [200, { ...this.#base, rows, truncated: rows.length < found.length }]
    }
    if (path === '/v1/rows-parts') {
      const after = query.get('after') ?? ''
      const names = [...this.#tables.get(table)?.keys() ?? []].filter((name) => name > after).sort()
      return [200, { ...this.#base, parts: names.slice(0, 1_000), truncated: names.length > 1_000 }]
    }
    if (path === '/v1/rows-feed') {
      const after = Number(query.get('after') ?? 0)
      const deadline = performance.now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0))
      for (;;) {
        const rows = this.#changedAfter(table, after)
        const remainingMs = deadline - performance.now()
        if (rows.length > 0 || remainingMs <= 0) return [200, { ...this.#base, rows }]
        await this.#nextChange(remainingMs)
      }
    }
    return [404, {}]
  }

  #changedAfter (table, after) {
    const changes = this.#changes.get(table) ?? []
    let index = changes.length
    while (index > 0 && changes[index - 1].row_version > after) index--
    return changes.slice(index)
  }

  #nextChange (timeoutMs) {
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

function sleep (ms) {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
