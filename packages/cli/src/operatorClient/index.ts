import type { ConfigurationIndex, Manifest, SchemaViolation, ShardStatus } from '@gypsumspring/protocol'
import { Left, Right, type Either } from 'purify-ts/Either'
import { request, type Dispatcher } from 'undici'
import { exitCodes, type CommandResult } from '../output/index.ts'

/** Longest wait for an answer of an entry, in ms; it may itself wait for every scheduler. */
const ANSWER_TIMEOUT_MS = 10_000

export interface CurrentConfiguration {
  source: 'table' | 'in-force'
  index?: ConfigurationIndex
  manifests: Record<string, Manifest>
}

export interface InForce {
  inForceEverywhere: boolean
  inForce: string[]
  missing: Array<{ id: string, version: number }>
}

export interface CellStatus {
  process: string
  configVersion: number
  readiness: { ready: boolean, degraded: Array<{ dependency: string, stillServed: string, notServed: string }> }
  shards: ShardStatus[]
  unreachable: Array<{ process: string, reason: string }>
  processes: Array<{ id: string, role: string, failureDomain: string, configVersion: number, leaving: boolean }>
}

interface ErrorBody {
  outcome?: string
  reason?: string
  retryAfterMs?: number
  violations?: SchemaViolation[]
  expected?: number
  current?: number
  lines?: string[]
}

/** An answer that ends the command: what to print and the exit code. */
export type Refusal = CommandResult

/** Talks to the operators' interface of one entry. */
export class OperatorClient {
  readonly #base: string

  constructor (server: string) {
    this.#base = server.replace(/\/+$/, '')
  }

  async readConfiguration (): Promise<Either<Refusal, CurrentConfiguration>> {
    return await this.#call('GET', '/v1/config')
  }

  /** Replaces a scope's manifest if the scope still has the expected version. */
  async apply (
    scope: string, manifest: string, expected: number
  ): Promise<Either<Refusal, { version: number, scopeVersion: number, changed: boolean }>> {
    return await this.#call('PUT', `/v1/config/${encodeURIComponent(scope)}?expect=${expected}`, manifest)
  }

  async readInForce (version: number): Promise<Either<Refusal, InForce>> {
    return await this.#call('GET', `/v1/inforce?version=${version}`)
  }

  async readStatus (): Promise<Either<Refusal, CellStatus>> {
    return await this.#call('GET', '/v1/status')
  }

  async explain (task: string): Promise<Either<Refusal, { lines: string[] }>> {
    return await this.#call('GET', `/v1/tasks/${encodeURIComponent(task)}/explain`)
  }

  async cancel (workload: string, scope: string | undefined): Promise<Either<Refusal, { version: number }>> {
    const query = scope === undefined ? '' : `?scope=${encodeURIComponent(scope)}`
    return await this.#call('POST', `/v1/workloads/${encodeURIComponent(workload)}/cancel${query}`)
  }

  async drain (
    endpoint: string, runner: string, operation: 'drain' | 'undrain'
  ): Promise<Either<Refusal, { version: number }>> {
    const path = `/v1/endpoints/${encodeURIComponent(endpoint)}/runners/${encodeURIComponent(runner)}/${operation}`
    return await this.#call('POST', path)
  }

  async setLogLevel (level: string): Promise<Either<Refusal, { level: string }>> {
    return await this.#call('PUT', '/v1/log-level', level)
  }

  async readMetrics (): Promise<Either<Refusal, string>> {
    return await this.#call('GET', '/metrics')
  }

  async #call<Value> (method: Dispatcher.HttpMethod, path: string, body?: string): Promise<Either<Refusal, Value>> {
    try {
      const answer = await request(`${this.#base}${path}`, {
        method, body: body ?? null, headersTimeout: ANSWER_TIMEOUT_MS, bodyTimeout: ANSWER_TIMEOUT_MS
      })
      const text = await answer.body.text()
      const isJson = String(answer.headers['content-type']).includes('json')
      const value = isJson ? JSON.parse(text) as unknown : text
      return answer.statusCode < 400 ? Right(value as Value) : Left(toRefusal(answer.statusCode, value as ErrorBody))
    } catch (error) {
      return Left(toConnectionRefusal(this.#base, method, error as Error & { code?: string }))
    }
  }
}

/** A change whose connection broke may have been made; a read, or a refused connection, changed nothing. */
function toConnectionRefusal (base: string, method: string, error: Error & { code?: string }): Refusal {
  const message = `${base}: ${error.message || error.code}`
  return method === 'GET' || error.code === 'ECONNREFUSED'
    ? { code: exitCodes.unavailable, output: [], errors: [message] }
    : { code: exitCodes.unknownOutcome, output: [], errors: [`${message}; the change may have been made`] }
}

function toRefusal (status: number, body: ErrorBody): Refusal {
  const violations = body.violations ?? []
  if (status === 409) {
    const message = `conflict: the scope has version ${body.current}, expected ${body.expected}; see 'gypsumctl diff'`
    return { code: exitCodes.conflict, output: [], errors: [message] }
  }
  if (status === 404) {
    const found = violations.map(formatViolation)
    return { code: exitCodes.notFound, output: [], errors: found.length > 0 ? found : ['not found'] }
  }
  if (violations.length > 0) {
    return { code: exitCodes.invalidManifest, output: [], errors: violations.map(formatViolation) }
  }
  if (body.outcome === 'unknown') {
    const message = 'the outcome is unknown: the change may have been made; repeat it with the same expected version'
    return { code: exitCodes.unknownOutcome, output: [], errors: [message] }
  }
  const retry = body.retryAfterMs === undefined ? '' : `; retry after ${body.retryAfterMs} ms`
  return { code: exitCodes.unavailable, output: [], errors: [`not run: ${body.reason ?? `status ${status}`}${retry}`] }
}

/** Renders a violation on one line. */
export function formatViolation ({ path, value, allowed }: SchemaViolation): string {
  return `${path}: ${value}: ${allowed}`
}
