import { throwUncaught } from '@gypsumspring/protocol'
import fastq, { type queueAsPromised } from 'fastq'

/**
 * A queue of messages that one handler takes one at a time, in order. The handler owns its state: nobody else touches
 * it, so it needs no locks even across awaits.
 */
export class Mailbox<Message> {
  readonly #queue: queueAsPromised<Message, void>

  constructor (handle: (message: Message) => Promise<void> | void) {
    this.#queue = fastq.promise(async (message: Message) => await handle(message), 1)
  }

  /** Adds a message. A handler that throws breaks an invariant and stops the process. */
  post (message: Message): void {
    this.#queue.push(message).catch(throwUncaught)
  }

  /** Number of messages that wait. */
  get length (): number {
    return this.#queue.length()
  }

  /** Resolves when all messages posted so far are handled. */
  async drained (): Promise<void> {
    await this.#queue.drained()
  }

  /** Drops the messages that wait; the current one is finished. */
  close (): void {
    this.#queue.kill()
  }
}
