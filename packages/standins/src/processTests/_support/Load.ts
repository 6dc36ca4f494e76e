import type { Cell } from '../../startCell/index.ts'

export interface CallResult {
  id: string
  /** Outcome header; `broken` when the connection broke before a whole answer. */
  outcome: string
  status: number
  body: string
  elapsedMs: number
}

interface CallOptions {
  method?: string
  headers?: Record<string, string>
  body?: string
  deadlineMs?: number
}

/** Time beyond its deadline after which a call without an answer counts as hanging, in ms. */
const HANG_MS = 5000

/** Keeps the request ids of several loads apart. */
let nextLoad = 0

/** Sends one request to an entry and waits for its whole answer. Never rejects. */
export async function call (url: string, id: string, options: CallOptions = {}): Promise<CallResult> {
  const startedAt = performance.now()
  const deadlineMs = options.deadlineMs ?? 3000
  const result = (outcome: string, status: number, body: string) =>
    ({ id, outcome, status, body, elapsedMs: performance.now() - startedAt })
  try {
    const response = await fetch(url, {
      method: options.method ?? 'GET',
      headers: { 'x-request-id': id, 'gs-deadline-ms': String(deadlineMs), ...options.headers },
      body: options.body ?? null,
      signal: AbortSignal.timeout(deadlineMs + HANG_MS)
    })
    const body = await response.text()
    return result(response.headers.get('gs-outcome') ?? 'none', response.status, body)
  } catch (error) {
    return result((error as Error).name === 'TimeoutError' ? 'hung' : 'broken', 0, '')
  }
}

/** Time between two readiness checks of the stand-in balancer, in ms; below the entries' grace of 500 ms. */
const READINESS_POLL_MS = 100

/**
 * Sends requests to the ready entries of a cell in turn, at a fixed rate, until stopped. Like the platform's balancer
 * it learns from `/readyz` which entries are ready.
 */
export class Load {
  readonly #cell: Cell
  readonly #name = `load-${process.pid}-${nextLoad++}`
  readonly #path: string
  readonly #options: CallOptions
  readonly #calls: Array<Promise<CallResult>> = []
  readonly #timer: ReturnType<typeof setInterval>
  readonly #readinessTimer: ReturnType<typeof setInterval>
  readonly #ready = new Map<string, boolean>()

  /**
   * @param cell - Cell to send to.
   * @param path - Path of each request.
   * @param intervalMs - Time between two requests, in ms.
   * @param options - Method, headers and deadline of each request.
   */
  constructor (cell: Cell, path: string, intervalMs: number, options: CallOptions = {}) {
    this.#cell = cell
    this.#path = path
    this.#options = options
    this.#timer = setInterval(() => this.#send(), intervalMs)
    this.#readinessTimer = setInterval(() => this.#checkReadiness(), READINESS_POLL_MS)
  }

  /** Stops sending and waits for all answers. */
  async stop (): Promise<CallResult[]> {
    clearInterval(this.#timer)
    clearInterval(this.#readinessTimer)
    return await Promise.all(this.#calls)
  }

  #send (): void {
    const ready = this.#cell.vms.filter(({ id, entry }) => !entry.exited && this.#ready.get(id) !== false)
    const index = this.#calls.length
    const vm = ready[index % ready.length]
    if (vm === undefined) return
    this.#calls.push(call(`${vm.callerUrl}${this.#path}`, `${this.#name}-${index}`, this.#options))
  }

  #checkReadiness (): void {
    for (const { id, operatorUrl } of this.#cell.vms) {
      fetch(`${operatorUrl}/readyz`, { signal: AbortSignal.timeout(READINESS_POLL_MS * 5) })
        .then(({ ok }) => this.#ready.set(id, ok), () => this.#ready.set(id, false))
    }
  }
}

/** Counts results by outcome. */
export function countOutcomes (results: CallResult[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const { outcome } of results) counts[outcome] = (counts[outcome] ?? 0) + 1
  return counts
}
