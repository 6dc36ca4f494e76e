import type { Platform } from '@gypsumspring/adapters'
import type {
  Configuration, Member, Outcome, RpcHandlers, RpcMethod, RpcParams, RpcResult
} from '@gypsumspring/protocol'
import type { Lifecycle } from './lifecycle/index.ts'
import type { Logger } from './logging/index.ts'
import type { Metrics } from './metrics/index.ts'
import type { Settings } from './settings/index.ts'

/** The configuration that is in force in this process. Its version never decreases. */
export interface ConfigurationView {
  /** Undefined until a version is known that is certainly no older than any served before a restart. */
  readonly current: Configuration | undefined
  /** 0 while `current` is undefined. */
  readonly version: number
  /** Calls the listener on each change, and at once if a version is in force. Returns a function to unsubscribe. */
  subscribe (listener: (configuration: Configuration) => void): () => void
}

/** The other processes of the cell, known from the platform's inventory of VMs and from gossip between peers. */
export interface Membership {
  /** Live members in id order, excluding this process. */
  members (): Member[]
  find (id: string): Member | undefined
}

/** RPC calls to other processes of the cell. Fills in the sender's id and configuration version. */
export interface Peers {
  call<Method extends RpcMethod> (
    address: string,
    method: Method,
    params: Omit<RpcParams<Method>, 'from' | 'configVersion'>,
    options?: { timeoutMs?: number }
  ): Promise<Outcome<RpcResult<Method>>>
}

/** Shared dependencies of the components of a process. */
export interface ProcessContext {
  settings: Settings
  logger: Logger
  metrics: Metrics
  lifecycle: Lifecycle
  /** Unique to each start of the process, so that peers can tell a restart from a reconnect. */
  incarnation: string
  platform: Platform
  configuration: ConfigurationView
  members: Membership
  peers: Peers
  /** RPC methods that this process serves. Components register theirs before the RPC server starts. */
  handlers: RpcHandlers
  /** Address at which peers reach this process; empty until the RPC server listens. */
  rpcAddress: string
  /** True once shutdown has begun; announced to peers. */
  leaving: boolean
}
