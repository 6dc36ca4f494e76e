import type { AccountUsage, StepInstance, TrackedJob } from '../model/index.ts'
import type { Demand, QueueConfiguration } from '../types.ts'
import { exceedsCap } from './exceedsCap/index.ts'
import { mayStart } from './mayStart/index.ts'

/** What each client account of a cell has running, and whether its cap lets more of its tasks start. */
export class AccountUsages {
  readonly #configuration: () => QueueConfiguration | undefined
  readonly #usages = new Map<string, AccountUsage>()
  /** Last known cap of each account: what an account that was removed still has waiting stays within it. */
  readonly #caps = new Map<string, Demand>()

  constructor (configuration: () => QueueConfiguration | undefined) {
    this.#configuration = configuration
  }

  /** Counts the tasks of a job for its account. Has to be called before any of them is assigned to a worker. */
  track (job: TrackedJob): void {
    const { account } = job.definition
    if (account === undefined) return
    let usage = this.#usages.get(account)
    if (usage === undefined) {
      usage = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
      this.#usages.set(account, usage)
    }
    job.accountUsage = usage
  }

  /** What an account has running, or may have running; nothing for an account without jobs. */
  of (account: string): Readonly<Demand> {
    return this.#usages.get(account) ?? { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
  }

  /** Cap of an account; undefined while no configuration has told it. */
  capOf (account: string): Demand | undefined {
    const cap = this.#configuration()?.accounts?.findByName(account)?.cap
    if (cap !== undefined) this.#caps.set(account, cap)
    return this.#caps.get(account)
  }

  /** Whether the account's cap lets a task of the step start now; for a gang, all its tasks. */
  mayStart ({ job, spec }: StepInstance): boolean {
    const { accountUsage, definition } = job
    if (accountUsage === undefined) return true
    const cap = this.capOf(definition.account!)
    if (cap !== undefined) return mayStart(accountUsage, cap, spec.demand, spec.gang ? spec.count : 1)
    const configuration = this.#configuration()
    // A new owner may know the jobs before the configuration.
    if (configuration === undefined) return false
    // The account was removed, or its row is malformed: one task at a time is within every cap and lets its jobs end.
    return configuration.accounts === undefined || isNothing(accountUsage)
  }

  /** Whether a task that was assigned must not start any more, since the cap of its account was lowered meanwhile. */
  exceedsCap ({ job: { accountUsage, definition }, spec }: StepInstance): boolean {
    if (accountUsage === undefined) return false
    const cap = this.capOf(definition.account!)
    return cap !== undefined && exceedsCap(accountUsage, cap, spec.demand)
  }
}

function isNothing ({ cpuMillis, memoryMb, accelerators }: Demand): boolean {
  return cpuMillis === 0 && memoryMb === 0 && accelerators === 0
}
