import type { Cell } from '../../startCell/index.ts'

export interface RequestResult {
  id: string
  /**
   * Value of the response header `gs-outcome`, or `none` without that header. `broken` if the connection failed before
   * the response was complete, `hung` if there was no complete response long after the deadline.
   */
  outcome: string
  status: number
  body: string
  elapsedMs: number
}

interface RequestOptions {
  method?: string
  headers?: Record<string, string>
  body?: string
  deadlineMs?: number
}

/** Time after its deadline at which a request without a complete response counts as hung, in ms. */
const HANG_TIMEOUT_MS = 5000

/** Makes the request ids of several load generators distinct. */
let nextGenerator = 0

/** Sends one request to an entry and waits for the complete response. Never rejects. */
export async function sendRequest (url: string, id: string, options: RequestOptions = {}): Promise<RequestResult> {
  const startedAt = performance.now()
  const deadlineMs = options.deadlineMs ?? 3000
  const result = (outcome: string, status: number, body: string) =>
    ({ id, outcome, status, body, elapsedMs: performance.now() - startedAt })
  try {
    const response = await fetch(url, {
      method: options.method ?? 'GET',
      headers: { 'x-request-id': id, 'gs-deadline-ms': String(deadlineMs), ...options.headers },
      body: options.body ?? null,
      signal: AbortSignal.timeout(deadlineMs + HANG_TIMEOUT_MS)
    })
    const body = await response.text()
    return result(response.headers.get('gs-outcome') ?? 'none', response.status, body)
  } catch (error) {
    return result((error as Error).name === 'TimeoutError' ? 'hung' : 'broken', 0, '')
  }
}

/** Interval of the readiness checks, in ms; shorter than the entries' grace period of 500 ms. */
const READINESS_POLL_MS = 100

/**
 * Sends requests at a fixed rate, round-robin, to the ready entries of a cell until it is stopped. Like the platform's
 * load balancer, it polls `/readyz` to learn which entries are ready.
 */
export class LoadGenerator {
  readonly #cell: Cell
  readonly #requestIdPrefix = `load-${process.pid}-${nextGenerator++}`
  readonly #path: string
  readonly #options: RequestOptions
  readonly #requests: Array<Promise<RequestResult>> = []
  readonly #timer: ReturnType<typeof setInterval>
  readonly #readinessTimer: ReturnType<typeof setInterval>
  readonly #readyByVm = new Map<string, boolean>()

  /**
   * @param cell - Cell to send requests to.
   * @param path - Path of each request.
   * @param intervalMs - Interval between requests, in ms.
   * @param options - Method, headers and deadline of each request.
   */
  constructor (cell: Cell, path: string, intervalMs: number, options: RequestOptions = {}) {
    this.#cell = cell
    this.#path = path
    this.#options = options
    this.#timer = setInterval(() => this.#send(), intervalMs)
    this.#readinessTimer = setInterval(() => this.#checkReadiness(), READINESS_POLL_MS)
  }

  /** Stops sending and waits for all responses. */
  async stop (): Promise<RequestResult[]> {
    clearInterval(this.#timer)
    clearInterval(this.#readinessTimer)
    return await Promise.all(this.#requests)
  }

  #send (): void {
    const ready = this.#cell.vms.filter(({ id, entry }) => !entry.exited && this.#readyByVm.get(id) !== false)
    const index = this.#requests.length
    const vm = ready[index % ready.length]
    if (vm === undefined) return
    this.#requests.push(sendRequest(`${vm.callerUrl}${this.#path}`, `${this.#requestIdPrefix}-${index}`, this.#options))
  }

  #checkReadiness (): void {
    for (const { id, operatorUrl } of this.#cell.vms) {
      fetch(`${operatorUrl}/readyz`, { signal: AbortSignal.timeout(READINESS_POLL_MS * 5) })
        .then(({ ok }) => this.#readyByVm.set(id, ok), () => this.#readyByVm.set(id, false))
    }
  }
}

/** Counts results by outcome. */
export function countOutcomes (results: RequestResult[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const { outcome } of results) counts[outcome] = (counts[outcome] ?? 0) + 1
  return counts
}

/** Lists the distinct responses of requests that were not answered, with their number and the longest time taken. */
export function describeUnanswered (results: RequestResult[]): string {
  const groups = new Map<string, RequestResult[]>()
  for (const result of results) {
    const key = `${result.outcome} ${result.status} ${result.body}`
    if (result.outcome !== 'answered') groups.set(key, [...groups.get(key) ?? [], result])
  }
  return [...groups].map(([key, group]) =>
    `${group.length} x ${key} (up to ${Math.round(Math.max(...group.map(({ elapsedMs }) => elapsedMs)))} ms)`).join('\n')
}
