import { once } from 'node:events'
import { connect, createServer, type AddressInfo } from 'node:net'
import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { done, sleep, throwUncaught, unknownEffect, type Outcome } from '@gypsumspring/protocol'
import { readHedged } from './index.ts'

/** When the parts of the answer to one copy arrive, in ms after it was sent; the last one completes it. */
type Arrivals = number[]

interface Case {
  name: string
  copies: Arrivals[]
  /** Index of the copy whose answer is returned; undefined if there is none. */
  winner: number | undefined
  endsAtMs: number
  sent: number
  /** Indexes of the copies that were cut off. */
  cutOff: number[]
}

const OVERDUE_AFTER_MS = 250
const STALL_TIMEOUT_MS = 1_000

describe('readHedged', () => {
  let clock: Clock
  beforeEach(() => { clock = install() })
  afterEach(() => clock.uninstall())

  const cases: Case[] = [
    { name: 'returns an answer that comes at once', copies: [[5]], winner: 0, endsAtMs: 5, sent: 1, cutOff: [] },
    {
      name: 'waits for an answer that keeps arriving and sends no copy of it',
      copies: [[10, 900, 1_800, 2_700]],
      winner: 0,
      endsAtMs: 2_700,
      sent: 1,
      cutOff: []
    },
    {
      name: 'sends a copy when nothing has arrived, and cuts off the answer that begins to arrive later',
      copies: [[400, 700], [10, 600]],
      winner: 1,
      endsAtMs: 850,
      sent: 2,
      cutOff: [0]
    },
    {
      name: 'keeps to the first answer that arrives even if a copy was sent for it',
      copies: [[300, 900], [200, 300]],
      winner: 0,
      endsAtMs: 900,
      sent: 2,
      cutOff: [1]
    },
    {
      name: 'gives up when an answer stops arriving',
      copies: [[10, 500, 1_600]],
      winner: undefined,
      endsAtMs: 1_500,
      sent: 1,
      cutOff: [0]
    },
    {
      name: 'gives up when no copy is answered, and cuts off the answers that begin to arrive afterwards',
      copies: [[800, 900], [800, 900], [800, 900]],
      winner: undefined,
      endsAtMs: 750,
      sent: 3,
      cutOff: [0, 1, 2]
    }
  ]
  for (const { name, copies, winner, endsAtMs, sent, cutOff } of cases) {
    it(name, async () => {
      const signals: AbortSignal[] = []
      const read = async (
        arrivals: Arrivals, signal: AbortSignal, onProgress: () => void
      ): Promise<Outcome<number>> => {
        const copy = signals.push(signal) - 1
        const sentAt = performance.now()
        for (const at of arrivals) {
          await sleep(sentAt + at - performance.now())
          if (signal.aborted) return unknownEffect('closed', 'cut off')
          onProgress()
        }
        return done(copy)
      }
      let ended: { outcome: Outcome<number> | undefined, atMs: number } | undefined
      readHedged<number>(({ signal, onProgress }) => read(copies[signals.length]!, signal!, onProgress!), {
        overdueAfterMs: OVERDUE_AFTER_MS,
        stallTimeoutMs: STALL_TIMEOUT_MS,
        onOverdue: () => true,
        onProgress: () => {},
        signal: new AbortController().signal
      }).then((outcome) => { ended = { outcome, atMs: performance.now() } }, throwUncaught)
      await clock.tickAsync(10_000)
      expect(ended?.outcome?.extract()).to.equal(winner)
      expect(ended?.atMs).to.equal(endsAtMs)
      expect(signals.length).to.equal(sent)
      expect(signals.flatMap(({ aborted }, copy) => aborted ? [copy] : [])).to.deep.equal(cutOff)
    })
  }

  // Guards against a second transfer of an answer that arrived while the process was paused: timers run before input.
  it('keeps to an answer that arrives while the process pauses', async () => {
    clock.uninstall()
    const server = createServer((socket) => {
      socket.write('answer')
      const pausedUntil = performance.now() + 2 * OVERDUE_AFTER_MS
      while (performance.now() < pausedUntil);
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    let overdue = 0
    const outcome = await readHedged<string>(async ({ onProgress }) => {
      const socket = connect(port, '127.0.0.1')
      const [bytes] = await once(socket, 'data') as [Buffer]
      onProgress!()
      socket.destroy()
      return done(bytes.toString())
    }, {
      overdueAfterMs: OVERDUE_AFTER_MS,
      stallTimeoutMs: STALL_TIMEOUT_MS,
      onOverdue: () => ++overdue > 0,
      onProgress: () => {},
      signal: new AbortController().signal
    })
    server.close()
    expect([outcome?.extract(), overdue]).to.deep.equal(['answer', 0])
  })

  it('sends no copy when its caller wants none, and ends when its signal aborts', async () => {
    const controller = new AbortController()
    const sentAt: number[] = []
    const options = { overdueAfterMs: OVERDUE_AFTER_MS, stallTimeoutMs: STALL_TIMEOUT_MS, onProgress: () => {} }
    const silent = () => {
      sentAt.push(performance.now())
      return new Promise<Outcome<number>>(() => {})
    }
    const unrepeated = readHedged(silent, { ...options, onOverdue: () => false, signal: controller.signal })
    await clock.tickAsync(OVERDUE_AFTER_MS)
    expect(await unrepeated).to.equal(undefined)
    const abandoned = readHedged(silent, { ...options, onOverdue: () => true, signal: controller.signal })
    controller.abort()
    expect(await abandoned).to.equal(undefined)
    expect(sentAt).to.deep.equal([0, OVERDUE_AFTER_MS])
  })
})
