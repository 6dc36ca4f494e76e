import type { RequestClass } from '../../types.ts'
import { CLASSES, SKIP_LIMITS } from '../constants/index.ts'

export interface Queued {
  id: string
  team: string
  class: RequestClass
}

interface TeamState {
  /** Grows by 1 / weight with each request served; the lowest goes next. */
  pass: number
  waiting: number
}

/** Waiting requests: classes by preference without starvation, teams of a class by weight, a team's in order. */
export class RequestQueue<Item extends Queued> {
  readonly #queues = new Map<RequestClass, Map<string, Item[]>>(CLASSES.map((each) => [each, new Map()]))
  readonly #sizes: Record<RequestClass, number> = { interactive: 0, normal: 0, bulk: 0 }
  readonly #skipped: Record<RequestClass, number> = { interactive: 0, normal: 0, bulk: 0 }
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
    this.#list(item).push(item)
    this.#added(item)
  }

  /** Puts an item that was taken back at the head of its team's queue. */
  putBack (item: Item): void {
    this.#list(item).unshift(item)
    this.#added(item)
    this.#team(item.team).pass -= 1 / this.#weight(item.team)
  }

  /** The item that is served next, without those in `passedOver`; stays in the queue. */
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

  /** Takes an item out because it is served now. */
  take (item: Item): void {
    for (const each of CLASSES) {
      if (this.#sizes[each] > 0 && CLASSES.indexOf(each) > CLASSES.indexOf(item.class)) this.#skipped[each]++
    }
    this.#skipped[item.class] = 0
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
   * The item to give up when the queue is over its limit: the newest of the least preferred class of the team that is
   * furthest above its share.
   */
  victim (): Item | undefined {
    let worst: { team: string, load: number } | undefined
    for (const [team, { waiting }] of this.#teams) {
      const load = waiting / this.#weight(team)
      if (waiting > 0 && (worst === undefined || load > worst.load)) worst = { team, load }
    }
    if (worst === undefined) return undefined
    const team = worst.team
    const newest = CLASSES.map((each) => this.#queues.get(each)?.get(team)?.at(-1))
    return newest.findLast((item) => item !== undefined)
  }

  items (): Item[] {
    return [...this.#queues.values()].flatMap((teams) => [...teams.values()].flat())
  }

  /** How many requests of other teams and classes wait beside those of `item`'s team and class. */
  ahead (item: Queued): { preferred: number, same: number } {
    const teams = this.#queues.get(item.class) ?? new Map<string, Item[]>()
    const own = (teams.get(item.team)?.length ?? 0) + 1
    const weights = [...teams.keys()].filter((team) => team !== item.team)
      .reduce((sum, team) => sum + this.#weight(team), this.#weight(item.team))
    const preferred = CLASSES.slice(0, CLASSES.indexOf(item.class)).reduce((sum, each) => sum + this.#sizes[each], 0)
    return { preferred, same: Math.min(this.#sizes[item.class] + 1, own * weights / this.#weight(item.team)) }
  }

  #nextClass (passedOver: ReadonlySet<Item>): RequestClass | undefined {
    const passed: Record<RequestClass, number> = { interactive: 0, normal: 0, bulk: 0 }
    for (const item of passedOver) passed[item.class]++
    const waiting = CLASSES.filter((each) => this.#sizes[each] > passed[each])
    return waiting.findLast((each) => this.#skipped[each] >= SKIP_LIMITS[each]) ?? waiting[0]
  }

  #list (item: Item): Item[] {
    const teams = this.#queues.get(item.class) as Map<string, Item[]>
    let items = teams.get(item.team)
    if (items === undefined) {
      items = []
      teams.set(item.team, items)
    }
    return items
  }

  #added (item: Item): void {
    this.#sizes[item.class]++
    const state = this.#team(item.team)
    // A team that was idle has saved up nothing.
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
