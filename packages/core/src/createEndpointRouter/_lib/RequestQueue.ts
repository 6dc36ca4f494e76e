import type { RequestClass } from '../../types.ts'
import { CLASSES, SKIP_LIMITS } from '../constants/index.ts'

export interface QueuedRequest {
  id: string
  team: string
  class: RequestClass
}

interface TeamState {
  /** Virtual time of the team: increases by 1 / weight with each request served; the team with the lowest is next. */
  pass: number
  waiting: number
}

/**
 * Queue of waiting requests. More preferred classes go first, with skip limits against starvation. Within a class,
 * teams are served in proportion to their weights by stride scheduling, and the requests of a team in order of arrival.
 */
export class RequestQueue<Item extends QueuedRequest> {
  readonly #queues = new Map<RequestClass, Map<string, Item[]>>(CLASSES.map((each) => [each, new Map()]))
  readonly #sizes: Record<RequestClass, number> = { interactive: 0, normal: 0, bulk: 0 }
  readonly #timesSkipped: Record<RequestClass, number> = { interactive: 0, normal: 0, bulk: 0 }
  readonly #teams = new Map<string, TeamState>()
  #weights: Map<string, number> = new Map()
  #lastPass = 0

  get size (): number {
    return CLASSES.reduce((sum, each) => sum + this.#sizes[each], 0)
  }

  setWeights (weights: Map<string, number>): void {
    this.#weights = weights
  }

  push (item: Item): void {
    this.#teamQueue(item).push(item)
    this.#recordAdded(item)
  }

  /** Returns an item that was taken to the head of its team's queue. */
  pushFront (item: Item): void {
    this.#teamQueue(item).unshift(item)
    this.#recordAdded(item)
    this.#team(item.team).pass -= 1 / this.#weight(item.team)
  }

  /** Returns the next item to serve, ignoring those in `passedOver`, without removing it. */
  peek (passedOver: ReadonlySet<Item>): Item | undefined {
    const chosen = this.#nextClass(passedOver)
    let best: { item: Item, pass: number } | undefined
    for (const items of chosen === undefined ? [] : this.#queues.get(chosen)?.values() ?? []) {
      const item = items.find((each) => !passedOver.has(each))
      if (item === undefined) continue
      const pass = this.#team(item.team).pass
      if (best === undefined || pass < best.pass) best = { item, pass }
    }
    return best?.item
  }

  /** Removes an item that is served now. */
  take (item: Item): void {
    for (const each of CLASSES) {
      if (this.#sizes[each] > 0 && CLASSES.indexOf(each) > CLASSES.indexOf(item.class)) this.#timesSkipped[each]++
    }
    this.#timesSkipped[item.class] = 0
    this.remove(item)
    const state = this.#team(item.team)
    this.#lastPass = Math.max(this.#lastPass, state.pass)
    state.pass += 1 / this.#weight(item.team)
  }

  remove (item: Item): boolean {
    const items = this.#queues.get(item.class)?.get(item.team)
    const index = items?.indexOf(item) ?? -1
    if (items === undefined || index < 0) return false
    items.splice(index, 1)
    if (items.length === 0) this.#queues.get(item.class)?.delete(item.team)
    this.#sizes[item.class]--
    const state = this.#team(item.team)
    if (--state.waiting === 0 && state.pass <= this.#lastPass) this.#teams.delete(item.team)
    return true
  }

  /**
   * Returns the item to evict when the queue exceeds its limit: the newest item in the least preferred class of the
   * team that is furthest above its share.
   */
  findEvictionCandidate (): Item | undefined {
    let mostOverShare: { team: string, load: number } | undefined
    for (const [team, { waiting }] of this.#teams) {
      const load = waiting / this.#weight(team)
      if (waiting > 0 && (mostOverShare === undefined || load > mostOverShare.load)) mostOverShare = { team, load }
    }
    if (mostOverShare === undefined) return undefined
    const team = mostOverShare.team
    const newest = CLASSES.map((each) => this.#queues.get(each)?.get(team)?.at(-1))
    return newest.findLast((item) => item !== undefined)
  }

  items (): Item[] {
    return [...this.#queues.values()].flatMap((teams) => [...teams.values()].flat())
  }

  /** Estimates how many requests of more preferred classes, and of the class of `item` up to it, are served first. */
  countAhead (item: QueuedRequest): { preferred: number, same: number } {
    const teams = this.#queues.get(item.class) ?? new Map<string, Item[]>()
    const ownTeam = (teams.get(item.team)?.length ?? 0) + 1
    const weights = [...teams.keys()].filter((team) => team !== item.team)
      .reduce((sum, team) => sum + this.#weight(team), this.#weight(item.team))
    const preferred = CLASSES.slice(0, CLASSES.indexOf(item.class)).reduce((sum, each) => sum + this.#sizes[each], 0)
    return { preferred, same: Math.min(this.#sizes[item.class] + 1, ownTeam * weights / this.#weight(item.team)) }
  }

  #nextClass (passedOver: ReadonlySet<Item>): RequestClass | undefined {
    const passed: Record<RequestClass, number> = { interactive: 0, normal: 0, bulk: 0 }
    for (const item of passedOver) passed[item.class]++
    const waiting = CLASSES.filter((each) => this.#sizes[each] > passed[each])
    return waiting.findLast((each) => this.#timesSkipped[each] >= SKIP_LIMITS[each]) ?? waiting[0]
  }

  #teamQueue (item: Item): Item[] {
    const teams = this.#queues.get(item.class) as Map<string, Item[]>
    let items = teams.get(item.team)
    if (items === undefined) {
      items = []
      teams.set(item.team, items)
    }
    return items
  }

  #recordAdded (item: Item): void {
    this.#sizes[item.class]++
    const state = this.#team(item.team)
    // A team gets no credit for the time in which it was idle.
    if (state.waiting++ === 0) state.pass = Math.max(state.pass, this.#lastPass)
  }

  #team (team: string): TeamState {
    let state = this.#teams.get(team)
    if (state === undefined) {
      state = { pass: this.#lastPass, waiting: 0 }
      this.#teams.set(team, state)
    }
    return state
  }

  #weight (team: string): number {
    return this.#weights.get(team) ?? 1
  }
}
