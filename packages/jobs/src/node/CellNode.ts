import { failureOf, throwUncaught, sleep, valueOf } from '@gypsumspring/protocol'
import {
  LATE_WRITE_MS, OUTAGE_PROMISE_MS, OWNER_TAKEOVER_MS, PEER_CALL_TIMEOUT_MS, TAKEOVER_PROMISE_MS
} from '../constants/index.ts'
import { readInstant, type Instant } from '../instant/index.ts'
import { CellOwner, type CellOwnerOptions } from '../owner/CellOwner.ts'
import type { TakeoverPromise } from '../owner/CellMembers.ts'
import { Ownership, readOwner, type OwnerRecord, type OwnerRow, type Transfer } from '../ownership/index.ts'
import type {
  Adviser, ConfigurationSource, MetricsRecorder, LogWriter, RecordStore, WorkerConnector, WorkerInventory,
  WorkerRegistry
} from '../ports.ts'
import { CELL_PARTITION } from '../records/index.ts'
import { Notifier } from '../notifier/Notifier.ts'
import { Followers } from './Followers.ts'
import { JobService, type OwnerAnswer } from './JobService.ts'
import type { CellMethod, CellParams, CellResult } from './messages.ts'
import { FailoverStore, type Peer } from './FailoverStore.ts'
import { createRelayHandlers, encodeRelayed } from './relayedCalls.ts'
import { RemoteAdviser } from './RemoteAdviser.ts'
import { chooseTakeoverDelay, computeWeakness } from './takeoverDelay/index.ts'
import { watchEventLoopLag } from './watchEventLoopLag/index.ts'

export interface CellNodeDependencies {
  /** The store over this node's own connection. */
  store: RecordStore
  /** Creates the worker registry that reads from the given store. */
  registry: (store: RecordStore) => WorkerRegistry
  connector: WorkerConnector
  /** Without it, tasks of workers that don't answer wait until their leases have ended. */
  inventory?: WorkerInventory
  adviser: Adviser
  configuration: ConfigurationSource
  connect: (address: string) => Peer & { close (): void }
  log: LogWriter
  metrics: MetricsRecorder
}

export interface CellNodeOptions extends CellOwnerOptions {
  /** RPC address of this node. */
  address: string
  /** RPC addresses of nodes that may be running; they relay store calls before the owner is known. */
  seeds: string[]
  /** Processors of this node's machine; may be a fraction. */
  processors: number
}

/** Handlers of the RPC methods that the nodes of a cell call on each other. */
export type CellHandlers = {
  [Method in CellMethod]: (params: CellParams<Method>) => Promise<CellResult<Method>> | CellResult<Method>
}

/** Interval of a follower's heartbeats to the owner, in ms. */
const HEARTBEAT_INTERVAL_MS = 250

/** Interval at which a follower reads the record of an unreachable owner, in ms. */
const OWNER_POLL_INTERVAL_MS = 100

/** Longest wait for the answer to a heartbeat, in ms; the owner's event loop may lag by 60 ms. */
const HEARTBEAT_TIMEOUT_MS = 250

/**
 * An owner that refuses connections or no longer owns the cell is replaced when its record has not changed for this
 * time, in ms.
 */
const REFUSED_OWNER_TIMEOUT_MS = 300

/** Number of average store calls that the renewal of the owner's record may take longer than usual. */
const COMMIT_LATENCY_FACTOR = 4

/** Interval of the store probes, in ms. */
const PROBE_INTERVAL_MS = 150

/** Average latency of a read above which the store counts as slow, in ms; usually a read takes 6 to 11 ms. */
const SLOW_STORE_MS = 50

/**
 * Delay of a takeover from which the owner's record is read again before the claim, in ms. Another of many nodes may
 * own the cell by then, and failed claims delay its first commits: a partition executes one at a time.
 */
const MIN_RECHECK_MS = 30

/** Time after which another probe is sent although one is not answered yet, in ms; its answer may be lost. */
const PROBE_PATIENCE_MS = 100

/**
 * One node of a cell. At most one node at a time owns the cell and schedules its jobs; the others send it heartbeats
 * and take over when it fails.
 */
export class CellNode {
  readonly #dependencies: CellNodeDependencies
  readonly #options: CellNodeOptions
  readonly #store: FailoverStore
  /** Accepts, cancels and looks up jobs on behalf of callers. */
  readonly jobs: JobService
  readonly #followers = new Followers()
  readonly #peersByAddress = new Map<string, Peer & { close (): void }>()
  #owner: CellOwner | undefined
  #ownerPeer: (Peer & { close (): void }) | undefined
  /** Token of the owner that this node follows or has lost contact with. */
  #ownerToken = 0
  /** What the owner told in its last answer, with its token. */
  #ownerAnswer: { token: number, time: Instant, needsPromise: boolean } | undefined
  /**
   * Monotonic time until which this node has promised not to take the cell over, in ms. At first, that is the longest
   * promise that the process may have made before it was restarted.
   */
  #promisedUntil = OUTAGE_PROMISE_MS
  /** Highest token of an owner to which this node makes no more promises, since it was replaced. */
  #withheldToken = 0
  /** Monotonic time until which a claim without an answer may still be applied, in ms. */
  #claimPendingUntil = 0
  /** Nodes that may relay store calls while this node does not own the cell. */
  #relayCandidates: Peer[] = []
  #stopped = false
  #resigned = false
  #resolveOwnershipEnd: (() => void) | undefined
  /** Monotonic time until which this node does not take the cell over, since it was too slow or too weak, in ms. */
  #noTakeoverUntil = 0
  readonly #startedAt = performance.now()
  /** Highest token of an owner that has announced that it released the cell. */
  #lastReleasedToken = 0
  #isHandingOver = false
  /** Ownership that another node has transferred to this one and that has not been resumed yet. */
  #receivedTransfer: Transfer | undefined
  /** Wakes the follower loop when an owner announces that it released the cell. */
  readonly #releaseWaiters = new Notifier()

  constructor (dependencies: CellNodeDependencies, options: CellNodeOptions) {
    this.#dependencies = dependencies
    this.#options = options
    this.#store = new FailoverStore(dependencies.store, () => this.#listRelayPeers(), dependencies.metrics)
    const owner = {
      local: () => this.#owner, peer: () => this.#ownerPeer, describeJob: (id: string) => this.#describeJob(id)
    }
    this.jobs = new JobService(this.#store, owner, dependencies.metrics)
    for (const address of options.seeds) {
      if (address !== options.address) this.#relayCandidates.push(this.#connect(address))
    }
  }

  /** The store, with calls relayed through other nodes while this node's own connection fails. */
  get store (): RecordStore {
    return this.#store
  }

  get isOwner (): boolean {
    return this.#owner !== undefined
  }

  start (): void {
    this.jobs.start()
    this.#runOwnershipLoop().catch(throwUncaught)
    this.#probeStore().catch(throwUncaught)
  }

  /** Hands the cell over and never takes it again; callers are still served. */
  async resign (): Promise<void> {
    this.#resigned = true
    if (this.#owner !== undefined) await this.#handOver(this.#owner)
  }

  /** Resigns and closes the connections to other nodes. */
  async stop (): Promise<void> {
    this.#stopped = true
    await this.resign()
    this.jobs.stop()
    for (const peer of this.#peersByAddress.values()) peer.close()
  }

  /** Handlers for RPC calls from other nodes. */
  handlers (): CellHandlers {
    return {
      'cell.follow': (heartbeat) => this.#handleFollow(heartbeat),
      'cell.ownershipEnded': (message) => this.#handleOwnershipEnded(message),
      'cell.withholdPromises': ({ token }) => this.#withholdPromises(token),
      'cell.accept': ({ job }) => {
        this.#owner?.accept(job)
        return { taken: this.#owner?.isRecovered === true }
      },
      'cell.cancel': ({ id }) => {
        this.#owner?.cancel(id)
        return { taken: this.#owner?.isRecovered === true }
      },
      'cell.show': ({ id }) => {
        const answer = this.#describeJob(id)
        return { known: answer !== undefined, state: answer?.state ?? null }
      },
      'cell.fence': async ({ id }) => ({ stored: valueOf(await this.jobs.fences.raise(id)) ?? null }),
      'cell.pending': ({ queue }) => ({ pending: this.#owner?.countPending(queue) ?? null }),
      'cell.advise': async ({ workers, timeoutMs, ...step }) =>
        encodeRelayed(await this.#dependencies.adviser.advise(step, workers, timeoutMs), (advice) => advice),
      ...createRelayHandlers(this.#store.direct)
    }
  }

  #connect (address: string): Peer & { close (): void } {
    let peer = this.#peersByAddress.get(address)
    if (peer === undefined) this.#peersByAddress.set(address, peer = this.#dependencies.connect(address))
    return peer
  }

  #listRelayPeers (): Peer[] {
    if (this.#owner === undefined) return this.#relayCandidates
    return this.#followers.listRelays().map(({ peer }) => peer)
  }

  /** Probes the store at intervals, so that `JobService.canAccept` is current even when no other calls are made. */
  async #probeStore (): Promise<void> {
    while (!this.#stopped) {
      await Promise.race([this.#store.probe(), sleep(PROBE_PATIENCE_MS)])
      await sleep(PROBE_INTERVAL_MS)
    }
  }

  /** Resumes a transferred ownership, takes over a vacant cell, or follows the owner, until the node stops. */
  async #runOwnershipLoop (): Promise<void> {
    while (!this.#stopped) {
      const transfer = this.#receivedTransfer
      if (transfer !== undefined) {
        this.#receivedTransfer = undefined
        await this.#runAsOwner(Ownership.resume(this.#store, CELL_PARTITION, transfer), undefined)
        continue
      }
      const row = valueOf(await readOwner(this.#store, CELL_PARTITION))
      if (row === undefined) {
        await sleep(HEARTBEAT_INTERVAL_MS)
        continue
      }
      const { record } = row
      const isVacant = record === undefined || record.released
      if (isVacant || record.node === this.#options.node) {
        if (this.#mayTakeOver()) await this.#takeOver(row, true)
        else await sleep(HEARTBEAT_INTERVAL_MS)
      } else await this.#followOwner(record)
    }
  }

  /** Sends heartbeats to the owner until it has released the cell, was replaced, or this node tried to take over. */
  async #followOwner (record: OwnerRecord): Promise<void> {
    const peer = this.#connect(record.address)
    const { node, address } = this.#options
    while (!this.#stopped) {
      const heartbeat = {
        node,
        address,
        uptimeMs: performance.now() - this.#startedAt,
        resigned: this.#resigned,
        hasStore: this.#store.isDirectlyReachable,
        weakness: computeWeakness(this.#options),
        promise: this.#promiseNoTakeover(record.token)
      }
      const answer = await peer.call('cell.follow', heartbeat, { timeoutMs: HEARTBEAT_TIMEOUT_MS })
      const result = valueOf(answer)
      if (result === undefined || !result.isOwner || result.token !== record.token) {
        this.#setOwnerPeer(undefined, record.token)
        // A promise to an owner that does not answer would be renewed with each heartbeat and prevent a takeover.
        this.#ownerAnswer = undefined
        const failure = failureOf(answer)
        const mayBeRunning = failure?.certainty === 'unknown' || failure?.reason === 'timeout'
        const unchangedLimitMs = mayBeRunning ? OWNER_TAKEOVER_MS : REFUSED_OWNER_TIMEOUT_MS
        if (await this.#watchUnreachableOwner(record, unchangedLimitMs)) return
        continue
      }
      this.#setOwnerPeer(peer, record.token)
      const { time, needsPromise = false } = result
      if (time !== undefined) this.#ownerAnswer = { token: record.token, time, needsPromise }
      const others = result.peers.filter((other) => other !== address)
      this.#relayCandidates = [peer, ...others.map((other) => this.#connect(other))]
      await this.#releaseWaiters.wait(HEARTBEAT_INTERVAL_MS)
      if (this.#lastReleasedToken >= record.token) return
    }
  }

  /**
   * Watches the record of an owner that this node can't reach. An owner that still renews its record is not replaced.
   *
   * @returns Whether to read the owner's record again: it has changed, or this node tried to take the cell over.
   */
  async #watchUnreachableOwner (record: OwnerRecord, unchangedLimitMs: number): Promise<boolean> {
    let lastVersion: number | undefined
    let unchangedSince = performance.now()
    while (!this.#stopped) {
      const current = valueOf(await readOwner(this.#store, CELL_PARTITION))
      if (current === undefined) return false
      if (current.record === undefined || current.record.released || current.record.token !== record.token) return true
      if (lastVersion !== undefined && current.version !== lastVersion) return false
      if (lastVersion === undefined) unchangedSince = performance.now()
      lastVersion = current.version
      // While the store is slow, the owner can't renew its record as often.
      if (performance.now() - unchangedSince > unchangedLimitMs + COMMIT_LATENCY_FACTOR * this.#store.latencyMs) {
        if (!this.#mayTakeOver()) return false
        if (performance.now() >= this.#promisedUntil) {
          await this.#takeOver(current, false)
          return true
        }
      }
      await sleep(OWNER_POLL_INTERVAL_MS)
    }
    return true
  }

  /**
   * While the store is slow or out of reach for this node or the owner, promises not to take the cell over, so that the
   * owner can go on renewing task leases. At other times the owner needs no promise, which would delay a takeover.
   */
  #promiseNoTakeover (token: number): TakeoverPromise | undefined {
    const now = performance.now()
    const answer = this.#ownerAnswer
    if (answer?.token !== token || token <= this.#withheldToken || now < this.#claimPendingUntil) return undefined
    const isStoreSlow = !this.#store.isDirectlyReachable || this.#store.latencyMs > SLOW_STORE_MS
    if (!isStoreSlow && !answer.needsPromise) return undefined
    // While this node can't reach the store, it couldn't take the cell over, and heartbeats come less often.
    const durationMs = this.#store.isAnswering ? TAKEOVER_PROMISE_MS : OUTAGE_PROMISE_MS
    this.#promisedUntil = now + durationMs
    return { token, since: answer.time, durationMs }
  }

  /** Whether this node may claim the cell: it has not resigned and is not in the pause after `#handOverAndPause`. */
  #mayTakeOver (): boolean {
    return !this.#resigned && performance.now() >= this.#noTakeoverUntil
  }

  #setOwnerPeer (peer: (Peer & { close (): void }) | undefined, token: number): void {
    if (this.#ownerPeer === peer && this.#ownerToken === token) return
    this.#ownerPeer = peer
    this.#ownerToken = token
    if (peer === undefined) this.#dependencies.log.warn({ token }, 'owner of the cell is out of reach')
    else this.#dependencies.log.info({ token, owner: peer.address }, 'following the owner of the cell')
  }

  /** Claims the cell and, if the claim succeeds, runs as its owner. */
  async #takeOver (previous: OwnerRow, predecessorEnded: boolean): Promise<void> {
    const delayMs = chooseTakeoverDelay(this.#options, previous.version)
    await sleep(delayMs)
    if (delayMs >= MIN_RECHECK_MS && await this.#isOwnerRowNewerThan(previous)) return
    const { node, address } = this.#options
    const claim = await Ownership.claim(this.#store, CELL_PARTITION, previous, { node, address }, predecessorEnded)
    const ownership = valueOf(claim)
    if (ownership === undefined) {
      const { reason, certainty } = failureOf(claim)!
      if (certainty === 'unknown') this.#claimPendingUntil = performance.now() + LATE_WRITE_MS
      this.#dependencies.log.info({ previous: previous.record?.token ?? 0, reason }, 'takeover failed')
      return
    }
    await this.#runAsOwner(ownership, previous.record?.node)
  }

  /** Whether the owner's record is known to have changed, so that a claim could only fail. */
  async #isOwnerRowNewerThan ({ version }: OwnerRow): Promise<boolean> {
    const current = valueOf(await readOwner(this.#store, CELL_PARTITION))
    return current !== undefined && current.version !== version
  }

  /** Runs as the owner of the cell until the ownership is lost or handed over. */
  async #runAsOwner (ownership: Ownership, previous: string | undefined): Promise<void> {
    const { token, predecessor } = ownership
    this.#dependencies.log.info({ token, previous, predecessor }, 'took the cell over')
    this.#dependencies.metrics.count('takeovers')
    this.#ownerPeer = undefined
    const ended = new Promise<void>((resolve) => { this.#resolveOwnershipEnd = resolve })
    const dependencies = this.#dependencies
    const store = this.#store
    const owner = new CellOwner(
      {
        ...dependencies,
        store,
        registry: dependencies.registry(store),
        endPromises: (token, nodes) => this.#endPromises(token, nodes)
      },
      ownership,
      this.#options,
      (reason) => {
        dependencies.log.warn({ token: ownership.token, reason }, 'lost the cell')
        this.#owner = undefined
        this.#resolveOwnershipEnd?.()
      })
    this.#owner = owner
    owner.addNode({ id: this.#options.node, adviser: dependencies.adviser })
    owner.start().catch(throwUncaught)
    const mayHandOver = () => this.#owner === owner && !this.#isHandingOver
    const sweepTimer = setInterval(() => {
      this.#removeSilentFollowers()
      if (mayHandOver()) this.#handOverToStronger(owner)
    }, HEARTBEAT_INTERVAL_MS)
    const lagTimer = watchEventLoopLag(this.#options.processors, (lagMs, usedProcessors) => {
      if (mayHandOver()) this.#standDown(owner, lagMs, usedProcessors)
    })
    await ended
    clearInterval(sweepTimer)
    clearInterval(lagTimer)
    this.#followers.clear()
  }

  /** Makes no more promises to the replaced owner with a token, and returns for how long earlier ones last. */
  #withholdPromises (token: number): CellResult<'cell.withholdPromises'> {
    this.#withheldToken = Math.max(this.#withheldToken, token)
    return { node: this.#options.node, promisedMs: Math.max(0, this.#promisedUntil - performance.now()) }
  }

  /**
   * Has nodes make no more promises to the owner with a token.
   *
   * @returns The monotonic time by which the promises of one of the nodes are over, in ms; infinite if none answers.
   */
  async #endPromises (token: number, nodes: ReadonlySet<string>): Promise<number> {
    const own = this.#withholdPromises(token)
    if (nodes.has(own.node) && own.promisedMs === 0) return this.#promisedUntil
    const answers = await Promise.all([...this.#peersByAddress.values()].map((peer) =>
      peer.call('cell.withholdPromises', { token }, { timeoutMs: HEARTBEAT_TIMEOUT_MS })))
    const now = performance.now()
    const known = [own, ...answers.flatMap((answer) => valueOf(answer) ?? [])].filter(({ node }) => nodes.has(node))
    return Math.min(...known.map(({ promisedMs }) => now + promisedMs))
  }

  /**
   * Hands the cell to a follower on a much stronger machine. It does not wait for the recovery of the cell, which may
   * never finish over a slow link.
   */
  #handOverToStronger (owner: CellOwner): void {
    const successor = this.#followers.chooseSuccessor()
    if (successor === undefined || computeWeakness(this.#options) - successor.weakness < MIN_WEAKNESS_DIFFERENCE) return
    const fields = { token: owner.token, successor: successor.node, recovered: owner.isRecovered }
    this.#dependencies.log.info(fields, 'a stronger node follows')
    this.#handOverAndPause(owner)
  }

  /** Hands the cell over because this node's machine is slow, if there is another node. */
  #standDown (owner: CellOwner, lagMs: number, usedProcessors: number): void {
    if (this.#followers.size === 0) return
    const fields = { token: owner.token, lagMs: Math.round(lagMs), usedProcessors: Number(usedProcessors.toFixed(2)) }
    this.#dependencies.log.warn(fields, 'this node is too slow to own the cell')
    this.#dependencies.metrics.count('stand_downs')
    this.#handOverAndPause(owner)
  }

  /** Hands the cell over and does not take it again for `TAKEOVER_PAUSE_MS`. */
  #handOverAndPause (owner: CellOwner): void {
    this.#noTakeoverUntil = performance.now() + TAKEOVER_PAUSE_MS
    this.#handOver(owner).catch(throwUncaught)
  }

  /** Transfers the cell to the best follower, or releases it if there is none, and notifies all followers. */
  async #handOver (owner: CellOwner): Promise<void> {
    if (this.#isHandingOver) return
    this.#isHandingOver = true
    const successor = this.#followers.chooseSuccessor()
    const followers = this.#followers.list()
    const token = owner.token
    const transfer = await owner.stop(successor === undefined
      ? undefined
      : { node: successor.node, address: successor.peer.address })
    this.#isHandingOver = false
    this.#owner = undefined
    const fields = { token, successor: successor?.node, transferred: transfer !== undefined }
    this.#dependencies.log.info(fields, 'gave the cell up')
    for (const follower of followers) {
      const message = { token, transfer: follower === successor ? transfer ?? null : null }
      follower.peer.call('cell.ownershipEnded', message, { timeoutMs: PEER_CALL_TIMEOUT_MS }).catch(throwUncaught)
    }
    this.#resolveOwnershipEnd?.()
  }

  #handleOwnershipEnded ({ token, transfer }: CellParams<'cell.ownershipEnded'>): CellResult<'cell.ownershipEnded'> {
    this.#lastReleasedToken = Math.max(this.#lastReleasedToken, token)
    if (transfer !== null && !this.#resigned) this.#receivedTransfer = transfer
    this.#releaseWaiters.notifyAll()
    return {}
  }

  #handleFollow (heartbeat: CellParams<'cell.follow'>): CellResult<'cell.follow'> {
    const owner = this.#owner
    if (owner === undefined) return { isOwner: false, token: 0, peers: [] }
    owner.recordHeartbeat(heartbeat.node, heartbeat.promise)
    const peer = this.#connect(heartbeat.address)
    if (this.#followers.recordHeartbeat(heartbeat, peer)) {
      owner.addNode({ id: heartbeat.node, adviser: new RemoteAdviser(peer) })
    }
    const peers = this.#followers.listRelays().map((follower) => follower.peer.address)
    return { isOwner: true, token: owner.token, peers, time: readInstant(), needsPromise: owner.needsPromises }
  }

  #describeJob (id: string): OwnerAnswer | undefined {
    const owner = this.#owner
    if (owner?.isRecovered !== true) return undefined
    return { state: owner.stateOf(id) }
  }

  #removeSilentFollowers (): void {
    for (const node of this.#followers.removeSilent()) {
      this.#owner?.removeNode(node)
      this.#dependencies.log.info({ node }, 'follower has sent no heartbeat and is removed')
    }
  }
}

/** Minimum difference in weakness for a handover, which interrupts scheduling for about one second. */
const MIN_WEAKNESS_DIFFERENCE = 0.2

/** Time for which a node does not take the cell over again after it was found too slow or too weak, in ms. */
const TAKEOVER_PAUSE_MS = 8_000
