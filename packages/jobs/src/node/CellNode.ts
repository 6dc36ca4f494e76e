import { done, failureOf, unknownEffect, valueOf, type Outcome } from '@gypsumspring/protocol'
import { sleep } from '@gypsumspring/protocol'
import { OWNER_SILENCE_MS } from '../constants/index.ts'
import { CellOwner, type CellOwnerOptions } from '../owner/CellOwner.ts'
import {
  Ownership, commitRepeatedly, readOwner, type OwnerRecord, type OwnerRow, type Transfer
} from '../ownership/index.ts'
import type {
  Advice, Adviser, ConfigurationSource, Counters, DecisionLog, RecordStore, WorkerLinks, WorkerRegistry
} from '../ports.ts'
import {
  CANCELS_TABLE, CELL_PARTITION, JOBS_TABLE, PROGRESS_TABLE, encodeJob, toJobPartitions
} from '../records/index.ts'
import { decodeProgress } from '../book/index.ts'
import type { Job, JobState } from '../types.ts'
import type { CellMethod, CellParams, CellResult } from './messages.ts'
import { RelayedStore, fromRelayed, toRelayed, toWireRow, type Peer } from './RelayedStore.ts'
import { chooseTakeoverDelay, computeWeakness } from './takeoverDelay/index.ts'
import { watchLag } from './watchLag/index.ts'

export interface CellNodeParts {
  /** The store as this node reaches it. */
  store: RecordStore
  registry: (store: RecordStore) => WorkerRegistry
  links: WorkerLinks
  adviser: Adviser
  configuration: ConfigurationSource
  connect: (address: string) => Peer & { close (): void }
  log: DecisionLog
  counters: Counters
}

export interface CellNodeOptions extends Omit<CellOwnerOptions, 'predecessorEnded'> {
  /** Name of this node, the same after a restart. */
  node: string
  /** RPC address of this node. */
  address: string
  /** RPC addresses of nodes that may be up, for the time before the owner is known. */
  seeds: string[]
  /** Processors of this node's machine; a fraction on small ones. */
  processors: number
  /** Speed of its link, in Mbit/s. */
  linkMbps: number
}

export type Acceptance =
  | { kind: 'accepted' }
  /** Not stored, and never will be. */
  | { kind: 'refused', reason: string }
  /** May have been stored. */
  | { kind: 'uncertain', reason: string }

export type CellHandlers = {
  [Method in CellMethod]: (params: CellParams<Method>) => Promise<CellResult<Method>> | CellResult<Method>
}

/** Time between two messages of a follower to the owner, in ms. */
const FOLLOW_INTERVAL_MS = 250

/** Time between two reads of the record of an owner that is out of reach, in ms. */
const SUSPECT_INTERVAL_MS = 140

/** Longest wait for the owner's answer to a follower, in ms. */
const FOLLOW_TIMEOUT_MS = 400

/** An owner whose port refuses connections is replaced when its record has not changed for this time, in ms. */
const REFUSED_SILENCE_MS = 550

/** A follower that was silent for this time is no longer used for advice or as a relay, in ms. */
const FOLLOWER_SILENCE_MS = 1_500

/** Time between two looks at whether the store answers, in ms. */
const PROBE_INTERVAL_MS = 150

/** Longest wait for the owner's answer to a question of a caller, in ms. */
const ASK_TIMEOUT_MS = 800

interface Follower {
  /** How far its machine falls short of what an owner needs, from 0 to 1. */
  weakness: number
  /** Age of its process, in ms. */
  uptimeMs: number
  /** It reaches the store without help. */
  hasStore: boolean
  /** It is about to stop. */
  resigned: boolean
  peer: Peer & { close (): void }
  seenAt: number
}

/** One node of a cell: follows the owner or is the owner, and serves callers. */
export class CellNode {
  readonly #parts: CellNodeParts
  readonly #options: CellNodeOptions
  readonly #store: RelayedStore
  readonly #followers = new Map<string, Follower>()
  readonly #known = new Map<string, Peer & { close (): void }>()
  #owner: CellOwner | undefined
  #ownerPeer: (Peer & { close (): void }) | undefined
  #ownerToken = 0
  /** Nodes through which this one may reach the store. */
  #helpers: Peer[] = []
  #stopped = false
  #resigned = false
  #ownerEnded: (() => void) | undefined
  /** Steady time until which this node doesn't take the cell over, in ms, since it is too slow to decide. */
  #restUntil = 0
  readonly #startedAt = performance.now()
  /** Token of the last owner that said it has given the cell up. */
  #released = 0
  /** The cell is being handed over. */
  #isLeaving = false
  /** An ownership that another node has transferred to this one. */
  #transfer: Transfer | undefined
  #wake: (() => void) | undefined

  constructor (parts: CellNodeParts, options: CellNodeOptions) {
    this.#parts = parts
    this.#options = options
    this.#store = new RelayedStore(parts.store, () => this.#relayPeers(), parts.counters)
    for (const address of options.seeds) if (address !== options.address) this.#helpers.push(this.#peer(address))
  }

  /** The store with its detours, for the parts of this node that read it. */
  get store (): RecordStore {
    return this.#store
  }

  /** Whether jobs can be accepted here: the store has answered a short while ago. */
  get canAccept (): boolean {
    return this.#store.isAnswering
  }

  get isOwner (): boolean {
    return this.#owner !== undefined
  }

  start (): void {
    this.#run(this.#lead())
    this.#run(this.#probeStore())
  }

  /** Gives the cell up for good, so that another node can take it over; callers are still served. */
  async resign (): Promise<void> {
    this.#resigned = true
    if (this.#owner !== undefined) await this.#handOver(this.#owner)
  }

  /** Stops everything. */
  async stop (): Promise<void> {
    this.#stopped = true
    await this.resign()
    for (const peer of this.#known.values()) peer.close()
  }

  /** Stores a job. `deadlineMs` is how long the caller waits. */
  async accept (job: Job, deadlineMs: number): Promise<Acceptance> {
    const giveUpAt = performance.now() + deadlineMs
    const key = { table: JOBS_TABLE, key: job.id }
    const commits = toJobPartitions(job.id).map((partition) => (
      { partition, expected: [{ ...key, version: 0 }], puts: [{ ...key, value: encodeJob(job) }], removes: [] }))
    let uncertain = false
    let reason = 'unavailable'
    while (performance.now() < giveUpAt) {
      if (!this.canAccept) return uncertain ? { kind: 'uncertain', reason } : { kind: 'refused', reason: 'unavailable' }
      const outcome = await this.#whileAnswering(commitRepeatedly(this.#store, commits), giveUpAt)
      const result = valueOf(outcome)
      if (result !== undefined) {
        this.#run(this.#notifyOwner('cell.accept', { job }, (owner) => owner.accept(job)))
        return { kind: 'accepted' }
      }
      outcome.ifLeft((failure) => {
        uncertain ||= failure.certainty === 'unknown'
        reason = failure.reason
      })
      this.#parts.counters.count('store_retries', { what: 'accept' })
      await sleep(ACCEPT_RETRY_MS)
    }
    return uncertain ? { kind: 'uncertain', reason } : { kind: 'refused', reason }
  }

  /** The outcome of a write, or `unknown` as soon as waiting for it has no use any more. */
  async #whileAnswering<Value> (write: Promise<Outcome<Value>>, giveUpAt: number): Promise<Outcome<Value>> {
    let settled: Outcome<Value> | undefined
    this.#run(write.then((outcome) => { settled = outcome }))
    const watch = async (): Promise<Outcome<Value>> => {
      while (this.canAccept && performance.now() < giveUpAt) await sleep(WATCH_INTERVAL_MS)
      return settled ?? unknownEffect('timeout', 'the store does not answer')
    }
    return await Promise.race([write, watch()])
  }

  /** State to show for a job; undefined when no such job was accepted. */
  async show (id: string): Promise<Outcome<JobState | undefined>> {
    const answer = await this.#askOwner(id)
    if (answer !== undefined) return done(answer)
    const progress = await this.#store.readRow(PROGRESS_TABLE, CELL_PARTITION, id)
    if (progress.isLeft()) return progress as Outcome<never>
    const value = progress.unsafeCoerce()?.value
    const known = value === undefined ? undefined : decodeProgress(value)
    if (known !== undefined) return done(known.state)
    const stored = await this.#isStored(id)
    return stored.map((found) => found ? 'queued' : undefined)
  }

  /** Whether a job was accepted, by the rows of the nodes that accepted it. */
  async #isStored (id: string): Promise<Outcome<boolean>> {
    const rows = await Promise.all(toJobPartitions(id).map((partition) => this.#store.readRow(JOBS_TABLE,
      partition, id)))
    if (rows.some((row) => valueOf(row) !== undefined)) return done(true)
    return (rows.find((row) => row.isLeft()) as Outcome<never> | undefined) ?? done(false)
  }

  /** Stores that a job is cancelled. The result tells whether there is such a job. */
  async cancel (id: string): Promise<Outcome<boolean>> {
    const found = await this.#askOwner(id) !== undefined ? done(true) : await this.#isStored(id)
    if (found.isLeft() || found.extract() === false) return found
    const outcome = await commitRepeatedly(this.#store, toJobPartitions(id).map((partition) => (
      { partition, expected: [], puts: [{ table: CANCELS_TABLE, key: id, value: Buffer.from('{}') }], removes: [] })))
    if (outcome.isRight()) this.#run(this.#notifyOwner('cell.cancel', { id }, (owner) => owner.cancel(id)))
    return outcome.map(() => true)
  }

  /** Jobs of a queue of which no task has started; undefined while no owner can tell. */
  async countPending (queue: string): Promise<number | undefined> {
    if (this.#owner !== undefined) return this.#owner.countPending(queue)
    const answer = await this.#ownerPeer?.call('cell.pending', { queue }, { timeoutMs: ASK_TIMEOUT_MS })
    return answer?.map(({ pending }) => pending ?? undefined).orDefault(undefined)
  }

  /** What this node answers to others. */
  handlers (): CellHandlers {
    const direct = this.#store.direct
    return {
      'cell.follow': (greeting) => this.#handleFollow(greeting),
      'cell.released': (message) => this.#handleReleased(message),
      'cell.accept': ({ job }) => {
        this.#owner?.accept(job)
        return { taken: this.#owner?.isRecovered === true }
      },
      'cell.cancel': ({ id }) => {
        this.#owner?.cancel(id)
        return { taken: this.#owner?.isRecovered === true }
      },
      'cell.show': ({ id }) => {
        const known = this.#owner?.isRecovered === true
        return { known, state: this.#owner?.stateOf(id) ?? null }
      },
      'cell.pending': ({ queue }) => ({ pending: this.#owner?.countPending(queue) ?? null }),
      'cell.advise': async ({ workers, timeoutMs, ...step }) =>
        toRelayed(await this.#parts.adviser.advise(step, workers, timeoutMs), (advice) => advice),
      'cell.store.commit': async ({ puts, ...commit }) => {
        const decoded = puts.map(({ value, ...row }) => ({ ...row, value: Buffer.from(value, 'base64') }))
        const outcome = await direct.commit({ ...commit, puts: decoded })
        return toRelayed(outcome, (result) => result.kind === 'conflict'
          ? { kind: 'conflict' as const, rows: result.rows.map(toWireRow) }
          : result)
      },
      'cell.store.read': async ({ table, partition }) => toRelayed(await direct.read(table, partition), toWireChanges),
      'cell.store.readRow': async ({ table, partition, key }) =>
        toRelayed(await direct.readRow(table, partition, key), (row) => row === undefined ? null : toWireRow(row)),
      'cell.store.changes': async ({ table, after, waitMs }) => toRelayed(await direct.changes(table, after,
        waitMs), toWireChanges)
    }
  }

  #run (task: Promise<unknown>): void {
    task.catch((error) => { process.nextTick(() => { throw error }) })
  }

  #peer (address: string): Peer & { close (): void } {
    let peer = this.#known.get(address)
    if (peer === undefined) this.#known.set(address, peer = this.#parts.connect(address))
    return peer
  }

  #relayPeers (): Peer[] {
    if (this.#owner === undefined) return this.#helpers
    return [...this.#followers.values()].filter(({ hasStore }) => hasStore).map(({ peer }) => peer)
  }

  /** Keeps `canAccept` up to date on a node that has nothing else to ask the store. */
  async #probeStore (): Promise<void> {
    while (!this.#stopped) {
      await this.#store.probe()
      await sleep(PROBE_INTERVAL_MS)
    }
  }

  async #lead (): Promise<void> {
    while (!this.#stopped) {
      const transfer = this.#transfer
      if (transfer !== undefined) {
        this.#transfer = undefined
        await this.#own(Ownership.resume(this.#store, CELL_PARTITION, transfer), undefined, true)
        continue
      }
      const row = valueOf(await readOwner(this.#store, CELL_PARTITION))
      if (row === undefined) {
        await sleep(FOLLOW_INTERVAL_MS)
        continue
      }
      const { record } = row
      const isVacant = record === undefined || record.released
      if (isVacant || record.node === this.#options.node) {
        if (this.#mayLead()) await this.#takeOver(row, true)
        else await sleep(FOLLOW_INTERVAL_MS)
      } else await this.#follow(record)
    }
  }

  /** Follows an owner until it is out of reach, and then until another one is known or this node has taken over. */
  async #follow (record: OwnerRecord): Promise<void> {
    const peer = this.#peer(record.address)
    const { node, address } = this.#options
    while (!this.#stopped) {
      const greeting = {
        node,
        address,
        uptimeMs: performance.now() - this.#startedAt,
        resigned: this.#resigned,
        hasStore: this.#store.isDirect,
        weakness: computeWeakness(this.#options)
      }
      const answer = await peer.call('cell.follow', greeting, { timeoutMs: FOLLOW_TIMEOUT_MS })
      const result = valueOf(answer)
      if (result === undefined || !result.isOwner || result.token !== record.token) {
        this.#setOwnerPeer(undefined, record.token)
        const silenceMs = failureOf(answer)?.certainty === 'unknown' ? OWNER_SILENCE_MS : REFUSED_SILENCE_MS
        if (await this.#suspect(record, silenceMs)) return
        continue
      }
      this.#setOwnerPeer(peer, record.token)
      const others = result.peers.filter((other) => other !== address)
      this.#helpers = [peer, ...others.map((other) => this.#peer(other))]
      await this.#releasedOrAfter(FOLLOW_INTERVAL_MS)
      if (this.#released >= record.token) return
    }
  }

  /** Waits, but no longer than until the owner says that it has given the cell up. */
  async #releasedOrAfter (delayMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, delayMs)
      this.#wake = () => {
        clearTimeout(timer)
        resolve()
      }
    })
    this.#wake = undefined
  }

  /**
   * Watches the record of an owner that is out of reach for this node. An owner that renews its record is left alone.
   *
   * @returns whether the owner has changed
   */
  async #suspect (record: OwnerRecord, silenceMs: number): Promise<boolean> {
    let observed: number | undefined
    let unchangedSince = performance.now()
    while (!this.#stopped) {
      const current = valueOf(await readOwner(this.#store, CELL_PARTITION))
      if (current === undefined) return false
      if (current.record === undefined || current.record.released || current.record.token !== record.token) return true
      if (observed !== undefined && current.version !== observed) return false
      if (observed === undefined) unchangedSince = performance.now()
      observed = current.version
      if (performance.now() - unchangedSince > silenceMs) {
        if (!this.#mayLead()) return false
        await this.#takeOver(current, false)
        return true
      }
      await sleep(SUSPECT_INTERVAL_MS)
    }
    return true
  }

  /** A slow node leaves a vacant cell to the others for a while. */
  #mayLead (): boolean {
    return !this.#resigned && performance.now() >= this.#restUntil
  }

  #setOwnerPeer (peer: (Peer & { close (): void }) | undefined, token: number): void {
    if (this.#ownerPeer === peer && this.#ownerToken === token) return
    this.#ownerPeer = peer
    this.#ownerToken = token
    if (peer === undefined) this.#parts.log.warn({ token }, 'owner of the cell is out of reach')
    else this.#parts.log.info({ token, owner: peer.address }, 'following the owner of the cell')
  }

  async #takeOver (previous: OwnerRow, predecessorEnded: boolean): Promise<void> {
    await sleep(chooseTakeoverDelay(this.#options, previous.version))
    const { node, address } = this.#options
    const claim = await Ownership.claim(this.#store, CELL_PARTITION, previous, { node, address })
    const ownership = valueOf(claim)
    if (ownership === undefined) {
      const reason = failureOf(claim)?.reason
      this.#parts.log.info({ previous: previous.record?.token ?? 0, reason }, 'takeover failed')
      return
    }
    await this.#own(ownership, previous.record?.node, predecessorEnded)
  }

  /** Decides for the cell until the ownership is lost or given up. */
  async #own (ownership: Ownership, previous: string | undefined, predecessorEnded: boolean): Promise<void> {
    this.#parts.log.info({ token: ownership.token, previous, predecessorEnded }, 'took the cell over')
    this.#parts.counters.count('takeovers')
    this.#ownerPeer = undefined
    const ended = new Promise<void>((resolve) => { this.#ownerEnded = resolve })
    const parts = this.#parts
    const store = this.#store
    const owner = new CellOwner(
      { ...parts, store, registry: parts.registry(store) }, ownership, { ...this.#options, predecessorEnded },
      (reason) => {
        parts.log.warn({ token: ownership.token, reason }, 'lost the cell')
        this.#owner = undefined
        this.#ownerEnded?.()
      })
    this.#owner = owner
    owner.addNode({ id: this.#options.node, adviser: parts.adviser })
    this.#run(owner.start())
    const sweep = setInterval(() => this.#sweepFollowers(), FOLLOW_INTERVAL_MS)
    const lag = watchLag((lagMs) => this.#standDown(owner, lagMs))
    await ended
    clearInterval(sweep)
    clearInterval(lag)
    this.#followers.clear()
  }

  /** Leaves the cell to a faster node, if there is one. */
  #standDown (owner: CellOwner, lagMs: number): void {
    if (this.#owner !== owner || this.#isLeaving || this.#followers.size === 0) return
    this.#parts.log.warn({ token: owner.token, lagMs: Math.round(lagMs) }, 'this node is too slow to own the cell')
    this.#parts.counters.count('stand_downs')
    this.#restUntil = performance.now() + STAND_DOWN_MS
    this.#run(this.#handOver(owner))
  }

  /** Transfers the cell to the follower that was started last, and tells the others. */
  async #handOver (owner: CellOwner): Promise<void> {
    if (this.#isLeaving) return
    this.#isLeaving = true
    const candidates = [...this.#followers].filter(([, { resigned, hasStore }]) => !resigned && hasStore)
    // Where nodes are restarted in turn, the one that was started last is not restarted again soon.
    candidates.sort(([, a], [, b]) => a.weakness - b.weakness || a.uptimeMs - b.uptimeMs)
    const [node, successor] = candidates[0] ?? []
    const followers = [...this.#followers.values()]
    const token = owner.token
    const transfer = await owner.stop(successor === undefined
      ? undefined
      : {
          node: node!,
          address: successor.peer.address
        })
    this.#isLeaving = false
    this.#owner = undefined
    this.#parts.log.info({ token, successor: node, transferred: transfer !== undefined }, 'gave the cell up')
    for (const follower of followers) {
      const message = { token, transfer: follower === successor ? transfer ?? null : null }
      this.#run(follower.peer.call('cell.released', message, { timeoutMs: ASK_TIMEOUT_MS }))
    }
    this.#ownerEnded?.()
  }

  #handleReleased ({ token, transfer }: CellParams<'cell.released'>): CellResult<'cell.released'> {
    this.#released = Math.max(this.#released, token)
    if (transfer !== null && !this.#resigned) this.#transfer = transfer
    this.#wake?.()
    return {}
  }

  #handleFollow ({
    node, address, uptimeMs, resigned,
    hasStore,
    weakness
  }: CellParams<'cell.follow'>): CellResult<'cell.follow'> {
    const owner = this.#owner
    if (owner === undefined) return { isOwner: false, token: 0, peers: [] }
    const peer = this.#peer(address)
    const known = this.#followers.get(node)
    this.#followers.set(node, { peer, seenAt: performance.now(), uptimeMs, resigned, hasStore, weakness })
    if (known?.peer !== peer) owner.addNode({ id: node, adviser: new RemoteAdviser(peer) })
    const peers = [...this.#followers.values()].filter((follower) => follower.hasStore).map((follower) =>
      follower.peer.address)
    return { isOwner: true, token: owner.token, peers }
  }

  #sweepFollowers (): void {
    for (const [node, { seenAt }] of this.#followers) {
      if (performance.now() - seenAt < FOLLOWER_SILENCE_MS) continue
      this.#followers.delete(node)
      this.#owner?.removeNode(node)
      this.#parts.log.info({ node }, 'node is silent')
    }
  }

  /** Asks the owner for a job's state. Undefined when it can't tell. */
  async #askOwner (id: string): Promise<JobState | undefined> {
    if (this.#owner !== undefined) return this.#owner.isRecovered ? this.#owner.stateOf(id) : undefined
    const answer = await this.#ownerPeer?.call('cell.show', { id }, { timeoutMs: ASK_TIMEOUT_MS })
    const result = (answer === undefined ? undefined : valueOf(answer))
    return result?.known === true ? (result.state as JobState | null) ?? undefined : undefined
  }

  /** Tells the owner what was stored. A lost message costs time only: the owner reads the tables at intervals. */
  async #notifyOwner<Method extends 'cell.accept' | 'cell.cancel'> (
    method: Method, params: CellParams<Method>, local: (owner: CellOwner) => void
  ): Promise<void> {
    if (this.#owner !== undefined) local(this.#owner)
    else await this.#ownerPeer?.call(method, params, { timeoutMs: ASK_TIMEOUT_MS })
  }
}

/** Time for which a slow node doesn't take the cell over again, in ms. */
const STAND_DOWN_MS = 8_000

/** Time between two looks at whether a write is still worth waiting for, in ms. */
const WATCH_INTERVAL_MS = 50

/** Wait before a job that could not be stored is written again, in ms. */
const ACCEPT_RETRY_MS = 60

/** Asks for advice through another node. */
class RemoteAdviser implements Adviser {
  readonly #peer: Peer

  constructor (peer: Peer) {
    this.#peer = peer
  }

  async advise (step: Parameters<Adviser['advise']>[0], workers: string[],
    timeoutMs: number): ReturnType<Adviser['advise']> {
    const answer = await this.#peer.call('cell.advise', { ...step, workers, timeoutMs }, { timeoutMs: timeoutMs + 200 })
    return answer.chain((result) => fromRelayed(result as { ok: Advice } | { failure: unknown }))
  }
}

function toWireChanges ({ rows, version }: { rows: Parameters<typeof toWireRow>[0][], version: number }) {
  return { rows: rows.map(toWireRow), version }
}
