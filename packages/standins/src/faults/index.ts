import { notDone, unknownEffect, type Outcome } from '@gypsumspring/protocol'

/** How a stand-in misbehaves on command. */
export interface FaultSettings {
  /** Every call fails and has no effect. */
  down: boolean
  /** Added to every call, in ms. */
  delayMs: number
  /** Share of calls that take effect while their answer is lost, 0 to 1. */
  loseAnswers: number
  /** How old the answers of listings are, in ms. */
  lagMs: number
}

const NO_FAULTS: FaultSettings = { down: false, delayMs: 0, loseAnswers: 0, lagMs: 0 }

/** Applies the faults of one stand-in to its calls. */
export class FaultSwitch {
  #settings: FaultSettings = NO_FAULTS
  #lostShare = 0

  get settings (): FaultSettings {
    return this.#settings
  }

  /** Replaces the faults named and keeps the others. */
  set (settings: Partial<FaultSettings>): void {
    this.#settings = { ...this.#settings, ...settings }
  }

  clear (): void {
    this.#settings = NO_FAULTS
  }

  /** Runs a call under the current faults. */
  async apply<Value> (call: () => Outcome<Value>): Promise<Outcome<Value>> {
    const { delayMs } = this.#settings
    if (delayMs > 0) await new Promise((resolve) => setTimeout(resolve, delayMs))
    if (this.#settings.down) return notDone('unavailable', 'stand-in is down')
    const outcome = call()
    return this.#losesAnswer() ? unknownEffect('timeout', 'stand-in lost the answer') : outcome
  }

  /** Loses the stated share of answers at even distances, so that runs repeat exactly. */
  #losesAnswer (): boolean {
    this.#lostShare += this.#settings.loseAnswers
    if (this.#lostShare < 1) return false
    this.#lostShare -= 1
    return true
  }
}
