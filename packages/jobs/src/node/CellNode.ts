import { failureOf, rethrow, sleep, valueOf } from '@gypsumspring/protocol'
import { PEER_CALL_TIMEOUT_MS, OWNER_TAKEOVER_MS } from '../constants/index.ts'
import { CellOwner, type CellOwnerOptions } from '../owner/CellOwner.ts'
import { Ownership, readOwner, type OwnerRecord, type OwnerRow, type Transfer } from '../ownership/index.ts'
import type {
  Adviser, ConfigurationSource, MetricsRecorder, LogWriter, RecordStore, WorkerConnector, WorkerRegistry
} from '../ports.ts'
import { CELL_PARTITION } from '../records/index.ts'
import { Notifier } from '../notifier/Notifier.ts'
import { Followers } from './Followers.ts'
import { JobService } from './JobService.ts'
import type { CellMethod, CellParams, CellResult } from './messages.ts'
import { RelayedStore, toRelayed, toWireRow, type Peer } from './RelayedStore.ts'
import { RemoteAdviser } from './RemoteAdviser.ts'
import { chooseTakeoverDelay, computeWeakness } from './takeoverDelay/index.ts'
import { watchLag } from './watchLag/index.ts'

export interface CellNodeParts {
  /** The store as this node reaches it. */
  store: RecordStore
  registry: (store: RecordStore) => WorkerRegistry
  links: WorkerConnector
  adviser: Adviser
  configuration: ConfigurationSource
  connect: (address: string) => Peer & { close (): void }
  log: LogWriter
  counters: MetricsRecorder
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

/** Time between two looks at whether the store answers, in ms. */
const PROBE_INTERVAL_MS = 150

/** One node of a cell: follows the owner or is the owner. */
export class CellNode {
  readonly #parts: CellNodeParts
  readonly #options: CellNodeOptions
  readonly #store: RelayedStore
  /** Serves callers. */
  readonly jobs: JobService
  readonly #followers = new Followers()
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
  /** Wakes the follower when an owner says that it has given the cell up. */
  readonly #releases = new Notifier()

  constructor (parts: CellNodeParts, options: CellNodeOptions) {
    this.#parts = parts
    this.#options = options
    this.#store = new RelayedStore(parts.store, () => this.#relayPeers(), parts.counters)
    const owner = { local: () => this.#owner, peer: () => this.#ownerPeer }
    this.jobs = new JobService(this.#store, owner, parts.counters)
    for (const address of options.seeds) if (address !== options.address) this.#helpers.push(this.#peer(address))
  }

  /** The store with its detours, for the parts of this node that read it. */
  get store (): RecordStore {
    return this.#store
  }

  get isOwner (): boolean {
    return this.#owner !== undefined
  }

  start (): void {
    this.#lead().catch(rethrow)
    this.#probeStore().catch(rethrow)
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

  #peer (address: string): Peer & { close (): void } {
    let peer = this.#known.get(address)
    if (peer === undefined) this.#known.set(address, peer = this.#parts.connect(address))
    return peer
  }

  #relayPeers (): Peer[] {
    if (this.#owner === undefined) return this.#helpers
    return this.#followers.listWithStore().map(({ peer }) => peer)
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
        const silenceMs = failureOf(answer)?.certainty === 'unknown' ? OWNER_TAKEOVER_MS : REFUSED_SILENCE_MS
        if (await this.#suspect(record, silenceMs)) return
        continue
      }
      this.#setOwnerPeer(peer, record.token)
      const others = result.peers.filter((other) => other !== address)
      this.#helpers = [peer, ...others.map((other) => this.#peer(other))]
      await this.#releases.wait(FOLLOW_INTERVAL_MS)
      if (this.#released >= record.token) return
    }
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
    owner.start().catch(rethrow)
    const mayRetire = () => this.#owner === owner && !this.#isLeaving
    const sweep = setInterval(() => {
      this.#sweepFollowers()
      if (mayRetire()) this.#yieldToStronger(owner)
    }, FOLLOW_INTERVAL_MS)
    const lag = watchLag((lagMs) => { if (mayRetire()) this.#standDown(owner, lagMs) })
    await ended
    clearInterval(sweep)
    clearInterval(lag)
    this.#followers.clear()
  }

  /** Hands the cell to a clearly stronger node: over a thin link this one may not even finish to recover it. */
  #yieldToStronger (owner: CellOwner): void {
    const successor = this.#followers.chooseSuccessor()
    if (successor === undefined || computeWeakness(this.#options) - successor.weakness < CLEARLY_WEAKER) return
    this.#parts.log.info({ token: owner.token, successor: successor.node, recovered: owner.isRecovered }, 'a stronger node follows')
    this.#retire(owner)
  }

  /** Leaves the cell to a faster node, if there is one. */
  #standDown (owner: CellOwner, lagMs: number): void {
    if (this.#followers.size === 0) return
    this.#parts.log.warn({ token: owner.token, lagMs: Math.round(lagMs) }, 'this node is too slow to own the cell')
    this.#parts.counters.count('stand_downs')
    this.#retire(owner)
  }

  /** Hands the cell over and leaves it to others for a while. */
  #retire (owner: CellOwner): void {
    this.#restUntil = performance.now() + STAND_DOWN_MS
    this.#handOver(owner).catch(rethrow)
  }

  /** Transfers the cell to the follower that was started last, and tells the others. */
  async #handOver (owner: CellOwner): Promise<void> {
    if (this.#isLeaving) return
    this.#isLeaving = true
    const successor = this.#followers.chooseSuccessor()
    const followers = this.#followers.list()
    const token = owner.token
    const transfer = await owner.stop(successor === undefined
      ? undefined
      : { node: successor.node, address: successor.peer.address })
    this.#isLeaving = false
    this.#owner = undefined
    this.#parts.log.info({ token, successor: successor?.node, transferred: transfer !== undefined }, 'gave the cell up')
    for (const follower of followers) {
      const message = { token, transfer: follower === successor ? transfer ?? null : null }
      follower.peer.call('cell.released', message, { timeoutMs: PEER_CALL_TIMEOUT_MS }).catch(rethrow)
    }
    this.#ownerEnded?.()
  }

  #handleReleased ({ token, transfer }: CellParams<'cell.released'>): CellResult<'cell.released'> {
    this.#released = Math.max(this.#released, token)
    if (transfer !== null && !this.#resigned) this.#transfer = transfer
    this.#releases.notifyAll()
    return {}
  }

  #handleFollow (greeting: CellParams<'cell.follow'>): CellResult<'cell.follow'> {
    const owner = this.#owner
    if (owner === undefined) return { isOwner: false, token: 0, peers: [] }
    const peer = this.#peer(greeting.address)
    if (this.#followers.greet(greeting, peer)) owner.addNode({ id: greeting.node, adviser: new RemoteAdviser(peer) })
    const peers = this.#followers.listWithStore().map((follower) => follower.peer.address)
    return { isOwner: true, token: owner.token, peers }
  }

  #sweepFollowers (): void {
    for (const node of this.#followers.sweep()) {
      this.#owner?.removeNode(node)
      this.#parts.log.info({ node }, 'node is silent')
    }
  }
}

/** Difference in weakness for which the cell is handed over; a handover costs about as much as a lost second. */
const CLEARLY_WEAKER = 0.2

/** Time for which a slow node doesn't take the cell over again, in ms. */
const STAND_DOWN_MS = 8_000

function toWireChanges ({ rows, version }: { rows: Parameters<typeof toWireRow>[0][], version: number }) {
  return { rows: rows.map(toWireRow), version }
}
