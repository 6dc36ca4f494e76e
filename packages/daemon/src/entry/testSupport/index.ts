/** Fakes shared by the tests of the entry role. */
import type { RunnerClient, RunnerRequest, RunnerResponse, Table, Transaction } from '@gypsumspring/adapters'
import { createEndpointRouter, type EndpointRouter } from '@gypsumspring/core'
import { done, notDone, unknownEffect, type Outcome } from '@gypsumspring/protocol'
import { MemoryTable } from '@gypsumspring/standins'
import { pino } from 'pino'
import { Metrics } from '../../metrics/index.ts'
import { RequestDispatcher } from '../requestDispatcher/index.ts'
import type { HeaderFields, IncomingRequest } from '../types.ts'

export const silentLogger = pino({ level: 'silent' })

type RunnerScript = (address: string, request: RunnerRequest, position: number) =>
  Promise<Outcome<RunnerResponse>> | Outcome<RunnerResponse>

/** Runners that respond according to a test's script. `sent` lists the exchanges in order. */
export class ScriptedRunners implements RunnerClient {
  readonly sent: Array<{ address: string, request: RunnerRequest }> = []
  readonly limits = new Map<string, number>()
  script: RunnerScript

  constructor (script: RunnerScript) {
    this.script = script
  }

  async send (address: string, request: RunnerRequest): Promise<Outcome<RunnerResponse>> {
    this.sent.push({ address, request })
    return await this.script(address, request, this.sent.length)
  }

  limitConnections (address: string, connections: number): void {
    this.limits.set(address, connections)
  }

  async close (): Promise<void> {}
}

export function makeResponse (body: string | AsyncIterable<Uint8Array>, status = 200, headers: HeaderFields = {}) {
  return done<RunnerResponse>({ status, headers, body: typeof body === 'string' ? makeBody(body) : body })
}

type BodyPart = string | Uint8Array | Promise<unknown>

/** A body in parts; promises are awaited, and `cut` ends it with an error as when the runner's connection breaks. */
export async function * makeBody (...parts: BodyPart[]): AsyncIterable<Uint8Array> {
  for (const part of parts) {
    if (part === 'cut') throw new Error('connection ended early')
    if (part instanceof Promise) await part
    else yield Buffer.from(part)
  }
}

/** Simulates a runner that hangs: resolves only when the exchange is aborted. */
export function hangUntilAborted (request: RunnerRequest): Promise<Outcome<RunnerResponse>> {
  return new Promise((resolve) => {
    request.signal?.addEventListener('abort', () => resolve(unknownEffect('closed', 'aborted')))
  })
}

export const connectionRefused = notDone('unavailable', 'connection refused')
export const connectionReset = unknownEffect('closed', 'connection reset')

export function makeRequest (
  changes: Partial<IncomingRequest> & { method?: string, body?: string } = {}
): IncomingRequest {
  const { method = 'POST', body = '', ...rest } = changes
  const now = performance.now()
  return {
    endpoint: 'origem',
    team: 'demo',
    class: 'normal',
    requestId: 'r-1',
    repeatable: true,
    firstAttempt: false,
    arrivedAt: now,
    deadline: now + 10_000,
    forwarded: { method, path: '/x', headers: {}, body: Buffer.from(body) },
    ...rest
  }
}

/** Creates a dispatcher with two runners, a and b, and a number of slot tokens for each. */
export function createDispatcher (
  runners: RunnerClient, slots = 2, router: EndpointRouter = createEndpointRouter()
): RequestDispatcher {
  const task = new RequestDispatcher({ endpoint: 'origem', router, runners, metrics: new Metrics() })
  task.setRunners(['a', 'b'].map((id) => ({ id, address: id, failureDomain: 'home', slots: 8, leaving: false })))
  if (slots > 0) task.setSlotExpiry('home', performance.now() + 1_800_000)
  if (slots > 0) for (const id of ['a', 'b']) task.grantSlots(id, slots)
  return task
}

type Fault = 'lose-response' | 'down' | 'ok'

/** A table whose next transactions fail according to `faults`, in order; later ones use `defaultFault`. */
export class FaultyTable implements Table {
  readonly memory = new MemoryTable()
  faults: Fault[] = []
  defaultFault: Fault = 'ok'
  /** Faults of the next reads; later reads and all scans use `defaultReadFault`. */
  readFaults: Fault[] = []
  defaultReadFault: Fault = 'ok'

  async transact (transaction: Transaction) {
    const fault = this.faults.shift() ?? this.defaultFault
    if (fault === 'down') return notDone('unavailable', 'down')
    const outcome = await this.memory.transact(transaction)
    return fault === 'lose-response' ? unknownEffect('timeout', 'response lost') : outcome
  }

  async read (key: string) {
    const fault = this.readFaults.shift() ?? this.defaultReadFault
    return fault === 'down' ? notDone('unavailable', 'down') : await this.memory.read(key)
  }

  async scan (prefix: string) {
    return this.defaultReadFault === 'down' ? notDone('unavailable', 'down') : await this.memory.scan(prefix)
  }
}
