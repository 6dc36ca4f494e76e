import { ORDER_TIMEOUT_MS } from '../constants/index.ts'
import { done, notDone, sleep, unknownEffect, type Outcome } from '@gypsumspring/protocol'
import type { StartResult, WorkerLink, WorkerLinks, WorkerRegistry } from '../ports.ts'
import type { EndedRun, RunEnd, RunOrder, StartOrder, TaskKey, WorkerEntry, WorkerView } from '../types.ts'
import { PromiseChecker } from './PromiseChecker.ts'
import { Waiters } from '../waiters/Waiters.ts'

/** What becomes of one order: `late` is carried out after `LATE_MS` and never answered. */
export type OrderFault = 'silent' | 'lost' | 'late' | 'unhealthy' | undefined

const LATE_MS = 3_000
const LOOK_TIMEOUT_MS = 400
const LATENCY_MS = 2

/** How a run ends, and after which time in ms; undefined for a run that goes on. */
export type Outlook = (key: TaskKey, run: number, worker: string) => { how: RunEnd, afterMs: number } | undefined

interface Run {
  key: TaskKey
  run: number
  endsBy: ReturnType<typeof setTimeout> | undefined
  checkpoint: string
}

/** Time after which a member of a gang gives up waiting for the others, in ms. */
const GANG_WAIT_MS = 3_000

interface Member {
  run: Run
  end: (how: RunEnd) => void
}

/** Runs of gangs over all workers: they work from the moment when all are there, and end together. */
export class Gangs {
  readonly #members = new Map<string, Set<Member>>()

  /** Adds a member; `begin` is called once, when the gang is complete. */
  join (member: Member, size: number, begin: (end: (how: RunEnd) => void) => void): void {
    const name = toGang(member.run)
    const members = this.#members.get(name) ?? new Set()
    this.#members.set(name, members)
    members.add(member)
    if (members.size === size) begin((how) => this.#end(name, member, how))
    else member.run.endsBy = setTimeout(() => { if (members.size < size) member.end('alone') }, GANG_WAIT_MS)
  }

  /** A member has ended by itself, which breaks the others. */
  leave (run: Run): void {
    const members = this.#members.get(toGang(run))
    for (const member of members ?? []) if (member.run === run) members!.delete(member)
    for (const member of [...members ?? []]) member.end('broken')
  }

  #end (name: string, first: Member, how: RunEnd): void {
    const members = [...this.#members.get(name) ?? []]
    if (!members.includes(first)) return
    this.#members.delete(name)
    for (const member of members) member.end(how === 'done' || member === first ? how : 'broken')
  }
}

function toGang ({ key, run }: Run): string {
  return `${key.job}.${key.occurrence}.${key.step}.${run}`
}

/** One incarnation of a worker with leases, fencing and a list of ends. */
export class MemoryWorker {
  readonly entry: WorkerEntry
  readonly runs = new Map<string, Run>()
  readonly #highestRun = new Map<string, number>()
  readonly #checker: PromiseChecker
  readonly #outlook: Outlook
  readonly #gangs: Gangs
  ended: EndedRun[] = []
  #sequence = 0
  /** Ends up to this one were listed when the lease lapsed; their owner may have given the runs up by then. */
  #lapsedUpTo = 0
  #token = 0
  #leaseUntil = 0
  #leaseTimer: ReturnType<typeof setTimeout> | undefined
  readonly #ends = new Waiters()
  alive = true
  /** Decides what becomes of each call. */
  fault: (call: 'look' | 'start' | 'stop' | 'pace') => OrderFault = () => undefined

  constructor (entry: WorkerEntry, checker: PromiseChecker, gangs: Gangs, outlook: Outlook) {
    this.#gangs = gangs
    this.entry = entry
    this.#checker = checker
    this.#outlook = outlook
  }

  get clockMs (): number {
    return performance.now() + CLOCK_OFFSET_MS
  }

  /** Ends everything without a word. */
  crash (): void {
    this.alive = false
    clearTimeout(this.#leaseTimer)
    for (const [name, run] of this.runs) {
      clearTimeout(run.endsBy)
      this.#checker.ended(name, run.run, this.entry.id, 'lost')
      this.#gangs.leave(run)
    }
    this.runs.clear()
  }

  accepts (token: number): boolean {
    if (token < this.#token) return false
    this.#token = token
    return true
  }

  extend (until: number | undefined): void {
    if (until === undefined || until <= this.#leaseUntil) return
    this.#leaseUntil = until
    clearTimeout(this.#leaseTimer)
    this.#leaseTimer = setTimeout(() => {
      this.#lapsedUpTo = this.#sequence
      for (const run of [...this.runs.values()]) this.#end(run, 'lapsed')
    }, until - this.clockMs)
  }

  start (order: StartOrder, leaseUntil: number): StartResult {
    const name = toName(order.key)
    const known = this.runs.get(name)
    this.extend(leaseUntil)
    if (known?.run === order.run) return { kind: 'started' }
    if (order.run <= (this.#highestRun.get(name) ?? 0)) return { kind: 'refused', reason: 'old-run' }
    if (leaseUntil <= this.clockMs) return { kind: 'refused', reason: 'too-late' }
    if (order.ticket !== '' && Number(order.ticket) < performance.now()) {
      this.#checker.expiredTickets++
      return { kind: 'refused', reason: 'no-ticket' }
    }
    this.#highestRun.set(name, order.run)
    this.#checker.started(order, this.entry)
    const run: Run = { key: order.key, run: order.run, endsBy: undefined, checkpoint: order.checkpoint }
    this.runs.set(name, run)
    const outlook = this.#outlook(order.key, order.run, this.entry.id)
    const size = this.#checker.gangSize(order.key)
    if (size > 1) {
      const begin = (end: (how: RunEnd) => void) => {
        if (outlook !== undefined) setTimeout(() => end(outlook.how), outlook.afterMs)
      }
      this.#gangs.join({ run, end: (how) => this.#end(run, how) }, size, begin)
    } else if (outlook !== undefined) run.endsBy = setTimeout(() => this.#end(run, outlook.how), outlook.afterMs)
    return { kind: 'started' }
  }

  stop ({ key, run }: RunOrder): void {
    const name = toName(key)
    this.#highestRun.set(name, Math.max(run, this.#highestRun.get(name) ?? 0))
    const known = this.runs.get(name)
    if (known !== undefined && known.run <= run) { setTimeout(() => { if (this.runs.get(name) === known) this.#end(known, 'stopped') }, STOP_MS) }
  }

  async view (acknowledged: number, waitMs: number): Promise<WorkerView> {
    this.ended = this.ended.filter(({ sequence, key, run }) => {
      if (sequence <= acknowledged && sequence > this.#lapsedUpTo) this.#checker.acknowledged(toName(key), run)
      return sequence > acknowledged
    })
    if (this.ended.length === 0 && waitMs > 0) await this.#ends.next(waitMs)
    const running = [...this.runs.values()].map(({ key, run, checkpoint }) => ({
      key,
      run,
      checkpoint,
      percent: 100,
      usage: 0
    }))
    return { clockMs: this.clockMs, running, ended: [...this.ended] }
  }

  #end (run: Run, how: RunEnd): void {
    const name = toName(run.key)
    clearTimeout(run.endsBy)
    if (!this.runs.delete(name)) return
    this.#checker.ended(name, run.run, this.entry.id, how)
    this.ended.push({ sequence: ++this.#sequence, key: run.key, run: run.run, how, checkpoint: run.checkpoint })
    this.#ends.wake()
    this.#gangs.leave(run)
  }
}

/** A ticket that workers accept for a time, in ms. */
export function toTicket (validMs: number): string {
  return String(performance.now() + validMs)
}

/** Difference of a worker's clock to that of the process, in ms: nobody may assume that they agree. */
const CLOCK_OFFSET_MS = 1_000_000

const STOP_MS = 300

/** The workers of a cell: their registry and the links of one node to them. */
export class MemoryWorkers implements WorkerRegistry, WorkerLinks {
  readonly workers = new Map<string, MemoryWorker>()
  readonly checker = new PromiseChecker()
  readonly #gangs = new Gangs()
  readonly #unlisted = new Set<string>()
  #version = 1
  #changes: Array<{ version: number, id: string }> = []

  add (entry: WorkerEntry, outlook: Outlook): MemoryWorker {
    const worker = new MemoryWorker(entry, this.checker, this.#gangs, outlook)
    this.workers.set(entry.id, worker)
    this.#note(entry.id)
    return worker
  }

  /** Takes a worker off the list; it may live on. */
  unlist (id: string): void {
    this.#unlisted.add(id)
    this.#note(id)
  }

  async list (): Promise<Outcome<{ workers: WorkerEntry[], version: number }>> {
    await sleep(LATENCY_MS)
    return done({ workers: this.#listed(), version: this.#version })
  }

  async changes (after: number, waitMs: number): Promise<Outcome<{
    workers: WorkerEntry[],
    removed: string[],
    version: number
  }>> {
    if (after >= this.#version) await sleep(Math.min(waitMs, 100))
    const changed = new Set(this.#changes.filter(({ version }) => version > after).map(({ id }) => id))
    const workers = this.#listed().filter(({ id }) => changed.has(id))
    const present = new Set(workers.map(({ id }) => id))
    return done({ workers, removed: [...changed].filter((id) => !present.has(id)), version: this.#version })
  }

  open (entry: WorkerEntry): WorkerLink {
    return new MemoryLink(this.workers.get(entry.id)!)
  }

  #listed (): WorkerEntry[] {
    return [...this.workers.values()].filter(({ entry }) => !this.#unlisted.has(entry.id)).map(({ entry }) => entry)
  }

  #note (id: string): void {
    this.#changes.push({ version: ++this.#version, id })
  }
}

class MemoryLink implements WorkerLink {
  readonly #worker: MemoryWorker

  constructor (worker: MemoryWorker) {
    this.#worker = worker
  }

  look ({
    token, acknowledged, leaseUntil,
    waitMs = 0
  }: Parameters<WorkerLink['look']>[0]): Promise<Outcome<WorkerView>> {
    return this.#call('look', token, async () => {
      this.#worker.extend(leaseUntil)
      return done(await this.#worker.view(acknowledged, waitMs))
    })
  }

  async start (order: StartOrder, token: number, leaseUntil: number): Promise<Outcome<StartResult>> {
    return await this.#call<StartResult>('start', token, () => done(this.#worker.start(order, leaseUntil)))
  }

  stop (order: RunOrder, token: number): Promise<Outcome<void>> {
    return this.#call('stop', token, () => done(this.#worker.stop(order)))
  }

  pace (_order: RunOrder, _percent: number, token: number): Promise<Outcome<void>> {
    return this.#call('pace', token, () => done(undefined))
  }

  close (): void {}

  async #call<Value> (
    name: 'look' | 'start' | 'stop' | 'pace', token: number, act: () => Outcome<Value> | Promise<Outcome<Value>>
  ): Promise<Outcome<Value>> {
    await sleep(LATENCY_MS)
    const fault = this.#worker.alive ? this.#worker.fault(name) : 'silent'
    const noAnswer = () => timeOut(name === 'look' ? LOOK_TIMEOUT_MS : ORDER_TIMEOUT_MS)
    if (fault === 'silent') return await noAnswer()
    if (fault === 'late') {
      setTimeout(() => { if (this.#worker.alive && this.#worker.accepts(token)) act() }, LATE_MS)
      return await noAnswer()
    }
    if (!this.#worker.accepts(token)) {
      return name === 'start'
        ? done({ kind: 'refused', reason: 'stale-token' } as Value)
        : notDone('stale-epoch',
          'a higher token was seen')
    }
    if (fault === 'unhealthy') {
      return name === 'start'
        ? done({
          kind: 'refused',
          reason: 'unhealthy'
        } as Value)
        : notDone('unavailable', 'unhealthy')
    }
    const outcome = await act()
    await sleep(LATENCY_MS)
    return fault === 'lost' ? await noAnswer() : outcome
  }
}

async function timeOut (waitMs: number): Promise<Outcome<never>> {
  await sleep(waitMs)
  return unknownEffect('timeout', 'no answer from the worker')
}

function toName ({ job, occurrence, step, index }: TaskKey): string {
  return `${job}.${occurrence}.${step}.${index}`
}
