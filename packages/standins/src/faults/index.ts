import { notDone, unknownEffect, type Outcome } from '@gypsumspring/protocol'

/** Faults to inject into the calls of a stand-in. */
export interface FaultSettings {
  /** Whether every call fails without effect. */
  down: boolean
  /** Delay before every call, in ms. */
  delayMs: number
  /** Share of calls, 0 to 1, that take effect but whose caller gets a timeout instead of the result. */
  loseAnswers: number
  /** Age of the data that the inventory's list and the workers' usage reports show, in ms. */
  lagMs: number
}

const NO_FAULTS: FaultSettings = { down: false, delayMs: 0, loseAnswers: 0, lagMs: 0 }

/** Injects the faults that are set into the calls of one stand-in. */
export class FaultInjector {
  #settings: FaultSettings = NO_FAULTS
  #dropAccumulator = 0

  get settings (): FaultSettings {
    return this.#settings
  }

  /** Sets the given faults and keeps the others. */
  set (settings: Partial<FaultSettings>): void {
    this.#settings = { ...this.#settings, ...settings }
  }

  clear (): void {
    this.#settings = NO_FAULTS
  }

  /** Runs a call with the current faults applied. */
  async apply<Value> (call: () => Outcome<Value>): Promise<Outcome<Value>> {
    const { delayMs } = this.#settings
    if (delayMs > 0) await new Promise((resolve) => setTimeout(resolve, delayMs))
    if (this.#settings.down) return notDone('unavailable', 'fault injection: the service is down')
    const outcome = call()
    return this.#shouldDropResponse() ? unknownEffect('timeout', 'fault injection dropped the result') : outcome
  }

  /** Decides at even intervals instead of at random, so that test runs are reproducible. */
  #shouldDropResponse (): boolean {
    this.#dropAccumulator += this.#settings.loseAnswers
    if (this.#dropAccumulator < 1) return false
    this.#dropAccumulator -= 1
    return true
  }
}
