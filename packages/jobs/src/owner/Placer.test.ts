import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { PlacementRounds, SeededRandom } from '../standins/index.ts'

function runOn (round: Generator<void>): void {
  while (round.next().done !== true);
}

// Guards against a round that goes on with what was true when it began, since other work is done between its parts.
describe('A placement round in parts', () => {
  function createRounds (): PlacementRounds {
    const rounds = new PlacementRounds(new SeededRandom(3), { workers: 40, waiting: 200, hasAdvice: false })
    rounds.fill()
    return rounds
  }

  it('places the same tasks as a round without interruptions', () => {
    const [whole, parted] = [createRounds(), createRounds()]
    whole.run()
    runOn(parted.runStepwise())
    expect(parted.listAssignments()).to.deep.equal(whole.listAssignments())
    expect(parted.waiting).to.be.below(200)
  })

  const changes = [
    {
      name: 'cancelled',
      change: (rounds: PlacementRounds) => { for (const job of rounds.cell.active) job.cancelled = true }
    },
    { name: 'failed', change: ({ cell }: PlacementRounds) => { for (const job of cell.active) job.state = 'failed' } },
    {
      name: 'without a worker that takes tasks',
      change: ({ cell }: PlacementRounds) => { for (const worker of cell.workers.values()) worker.reachable = false }
    }
  ]
  for (const { name, change } of changes) {
    it(`places no task of a job that is ${name} meanwhile`, () => {
      const rounds = createRounds()
      const round = rounds.runStepwise()
      round.next()
      change(rounds)
      runOn(round)
      expect(rounds.listAssignments().filter((line) => !line.endsWith('waiting'))).to.deep.equal([])
    })
  }
})

// Guards against a backlog in which only the most urgent steps ever ask for advice, and the others wait for ever.
describe('Placement rounds with a backlog of steps that lack advice', () => {
  let clock: Clock
  beforeEach(() => { clock = install() })
  afterEach(() => clock.uninstall())

  it('request advice for each of them in turn', () => {
    const rounds = new PlacementRounds(new SeededRandom(3), { workers: 245, waiting: 6_000, hasAdvice: true })
    rounds.fill()
    const steps = [...rounds.cell.active].flatMap((job) => [...job.occurrences.values()].flat())
      // A gang requests none while its members don't all have room.
      .filter(({ spec }) => !spec.gang)
    rounds.run()
    expect(steps.filter(({ advice }) => advice.pending).length).to.be.within(1, 100)
    // No request is answered meanwhile.
    for (let round = 0; round < steps.length / 30; round++) rounds.run()
    expect(steps.filter(({ advice }) => !advice.pending && advice.allowedCount === 0)).to.deep.equal([])
  })
})
