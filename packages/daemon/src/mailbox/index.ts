import { throwUncaught } from '@gypsumspring/protocol'
import fastq, { type queueAsPromised } from 'fastq'

/**
 * A queue whose handler processes one message at a time, in order. State that only the handler accesses needs no locks,
 * even across awaits.
 */
export class Mailbox<Message> {
  readonly #queue: queueAsPromised<Message, void>

  constructor (handle: (message: Message) => Promise<void> | void) {
    this.#queue = fastq.promise(async (message: Message) => await handle(message), 1)
  }

  /** Enqueues a message. An error thrown by the handler counts as a broken invariant and terminates the process. */
  post (message: Message): void {
    this.#queue.push(message).catch(throwUncaught)
  }

  /** Number of waiting messages. */
  get length (): number {
    return this.#queue.length()
  }

  /** Resolves when all messages posted so far have been handled. */
  async drained (): Promise<void> {
    await this.#queue.drained()
  }

  /** Discards the waiting messages; the one being handled is finished. */
  close (): void {
    this.#queue.kill()
  }
}
