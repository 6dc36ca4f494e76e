import type { ObjectStore, Table } from '@gypsumspring/adapters'
import {
  CONFIGURATION_KEY, EMPTY_CONFIGURATION_INDEX, type Configuration, type ConfigurationIndex, type Manifest
} from '@gypsumspring/protocol'
import type { Either } from 'purify-ts/Either'
import type { Metrics } from '../../metrics/index.ts'
import { loadManifests } from '../loadManifests/index.ts'
import { sleep } from '@gypsumspring/protocol'

/**
 * Computes the next index from the one in the table. Called again after a lost race, so it must not keep state.
 * `Left` refuses the change; the index itself, unchanged, says that the change is in force already.
 */
export type Change<Refusal> = (
  index: ConfigurationIndex, manifests: Record<string, Manifest>
) => Promise<Either<Refusal, ConfigurationIndex>> | Either<Refusal, ConfigurationIndex>

export type ChangeResult<Refusal> =
  | { kind: 'accepted', index: ConfigurationIndex, changed: boolean }
  | { kind: 'refused', refusal: Refusal }
  /** The store did not answer, or other scopes changed too often; nothing was changed. */
  | { kind: 'not-done', reason: 'store-unavailable' | 'contention' }
  /** The change may have been made. */
  | { kind: 'unknown' }

export interface ConfigurationWriterParts {
  table: Table
  objects: ObjectStore
  known: () => Configuration | undefined
  metrics: Metrics
}

/** Writes of one change before it is given up; each lost race means that another change has won. */
const ATTEMPTS = 10

/** Mean wait after a lost race, in ms, times the number of the attempt. */
const BACKOFF_MS = 20

/** Changes the row `config/current` by conditional writes. */
export class ConfigurationWriter {
  readonly #parts: ConfigurationWriterParts

  constructor (parts: ConfigurationWriterParts) {
    this.#parts = parts
  }

  /** Makes a change; an unknown write is resolved by reading the row and asking the change whether it is in force. */
  async change<Refusal> (change: Change<Refusal>): Promise<ChangeResult<Refusal>> {
    const { table, objects, known, metrics } = this.#parts
    let maybeWritten = false
    const failed = (reason: 'store-unavailable' | 'contention'): ChangeResult<Refusal> =>
      maybeWritten ? { kind: 'unknown' } : { kind: 'not-done', reason }
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
      if (attempt > 0) await sleep(BACKOFF_MS * attempt * (0.5 + Math.random()))
      const read = await table.read(CONFIGURATION_KEY)
      if (read.isLeft()) {
        // After an unknown write only the row can tell what happened.
        if (maybeWritten) continue
        return failed('store-unavailable')
      }
      const row = read.unsafeCoerce()
      const index = (row?.value as ConfigurationIndex | undefined) ?? EMPTY_CONFIGURATION_INDEX
      const manifests = await loadManifests(objects, index, known())
      if (manifests.isLeft()) return failed('store-unavailable')
      const next = await change(index, manifests.unsafeCoerce())
      if (next.isLeft()) return { kind: 'refused', refusal: next.extract() as Refusal }
      const value = next.unsafeCoerce()
      if (value === index) return { kind: 'accepted', index, changed: maybeWritten }
      const written = await table.transact({
        checks: [{ key: CONFIGURATION_KEY, version: row?.version ?? 0 }],
        writes: [{ kind: 'put', key: CONFIGURATION_KEY, value: { ...value, version: index.version + 1 } }]
      })
      if (written.isRight()) return { kind: 'accepted', index: { ...value, version: index.version + 1 }, changed: true }
      const { certainty, reason } = written.swap().unsafeCoerce()
      metrics.count('config_write_failed', { reason })
      if (certainty === 'unknown') maybeWritten = true
      else if (reason !== 'conflict') return failed('store-unavailable')
    }
    return failed(maybeWritten ? 'store-unavailable' : 'contention')
  }
}
