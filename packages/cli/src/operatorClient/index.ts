import type { ConfigurationIndex, Manifest, SchemaViolation, ShardStatus } from '@gypsumspring/protocol'
import { Left, Right, type Either } from 'purify-ts/Either'
import { request, type Dispatcher } from 'undici'
import { exitCodes, type CommandResult } from '../output/index.ts'

/** Timeout of a request to an entry, in ms. The entry itself may have to wait for every scheduler. */
const ANSWER_TIMEOUT_MS = 10_000

/** The configuration, read from the table or, if `source` is `in-force`, from the entry itself. */
export interface CurrentConfiguration {
  source: 'table' | 'in-force'
  index?: ConfigurationIndex
  manifests: Record<string, Manifest>
}

/** Processes in which a configuration version is in force, and those in which it is not yet. */
export interface RolloutStatus {
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

/** Body of an error response. */
interface ErrorBody {
  outcome?: string
  reason?: string
  retryAfterMs?: number
  violations?: SchemaViolation[]
  expected?: number
  current?: number
  lines?: string[]
}

/** Result of a command that failed: the error messages and the exit code. */
export type CommandFailure = CommandResult

/** HTTP client of the operator API of one entry. */
export class OperatorClient {
  readonly #baseUrl: string

  constructor (server: string) {
    this.#baseUrl = server.replace(/\/+$/, '')
  }

  async readConfiguration (): Promise<Either<CommandFailure, CurrentConfiguration>> {
    return await this.#request('GET', '/v1/config')
  }

  /** Replaces the manifest of a scope if the scope still has the expected version. */
  async apply (
    scope: string, manifest: string, expected: number
  ): Promise<Either<CommandFailure, { version: number, scopeVersion: number, changed: boolean }>> {
    return await this.#request('PUT', `/v1/config/${encodeURIComponent(scope)}?expect=${expected}`, manifest)
  }

  async readInForce (version: number): Promise<Either<CommandFailure, RolloutStatus>> {
    return await this.#request('GET', `/v1/inforce?version=${version}`)
  }

  async readStatus (): Promise<Either<CommandFailure, CellStatus>> {
    return await this.#request('GET', '/v1/status')
  }

  async explain (task: string): Promise<Either<CommandFailure, { lines: string[] }>> {
    return await this.#request('GET', `/v1/tasks/${encodeURIComponent(task)}/explain`)
  }

  async cancel (workload: string, scope: string | undefined): Promise<Either<CommandFailure, { version: number }>> {
    const query = scope === undefined ? '' : `?scope=${encodeURIComponent(scope)}`
    return await this.#request('POST', `/v1/workloads/${encodeURIComponent(workload)}/cancel${query}`)
  }

  async drain (
    endpoint: string, runner: string, operation: 'drain' | 'undrain'
  ): Promise<Either<CommandFailure, { version: number }>> {
    const path = `/v1/endpoints/${encodeURIComponent(endpoint)}/runners/${encodeURIComponent(runner)}/${operation}`
    return await this.#request('POST', path)
  }

  async setLogLevel (level: string): Promise<Either<CommandFailure, { level: string }>> {
    return await this.#request('PUT', '/v1/log-level', level)
  }

  async readMetrics (): Promise<Either<CommandFailure, string>> {
    return await this.#request('GET', '/metrics')
  }

  async #request<Value> (
    method: Dispatcher.HttpMethod, path: string, body?: string
  ): Promise<Either<CommandFailure, Value>> {
    try {
      const response = await request(`${this.#baseUrl}${path}`, {
        method, body: body ?? null, headersTimeout: ANSWER_TIMEOUT_MS, bodyTimeout: ANSWER_TIMEOUT_MS
      })
      const text = await response.body.text()
      const isJson = String(response.headers['content-type']).includes('json')
      const value = isJson ? JSON.parse(text) as unknown : text
      return response.statusCode < 400
        ? Right(value as Value)
        : Left(toCommandFailure(response.statusCode, value as ErrorBody))
    } catch (error) {
      return Left(toConnectionFailure(this.#baseUrl, method, error as Error & { code?: string }))
    }
  }
}

/**
 * Converts a connection error to a failure. A change may have been applied unless the connection was refused; a read
 * changes nothing.
 */
function toConnectionFailure (baseUrl: string, method: string, error: Error & { code?: string }): CommandFailure {
  const message = `${baseUrl}: ${error.message || error.code}`
  return method === 'GET' || error.code === 'ECONNREFUSED'
    ? { code: exitCodes.unavailable, output: [], errors: [message] }
    : { code: exitCodes.unknownOutcome, output: [], errors: [`${message}; the change may have been applied`] }
}

function toCommandFailure (status: number, body: ErrorBody): CommandFailure {
  const violations = body.violations ?? []
  if (status === 409) {
    const message = `conflict: the scope has version ${body.current}, expected ${body.expected}; run 'gypsumctl diff' to compare`
    return { code: exitCodes.conflict, output: [], errors: [message] }
  }
  if (status === 404) {
    const messages = violations.map(formatViolation)
    return { code: exitCodes.notFound, output: [], errors: messages.length > 0 ? messages : ['not found'] }
  }
  if (violations.length > 0) {
    return { code: exitCodes.invalidManifest, output: [], errors: violations.map(formatViolation) }
  }
  if (body.outcome === 'unknown') {
    const message = 'unknown outcome: the change may have been applied; repeat it with the same expected version'
    return { code: exitCodes.unknownOutcome, output: [], errors: [message] }
  }
  const retry = body.retryAfterMs === undefined ? '' : `; retry after ${body.retryAfterMs} ms`
  return { code: exitCodes.unavailable, output: [], errors: [`request not executed: ${body.reason ?? `status ${status}`}${retry}`] }
}

/** Formats a schema violation as one line. */
export function formatViolation ({ path, value, allowed }: SchemaViolation): string {
  return `${path}: ${value}: ${allowed}`
}
