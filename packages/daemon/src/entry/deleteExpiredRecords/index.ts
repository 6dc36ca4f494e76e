import type { ObjectStore, Table } from '@gypsumspring/adapters'
import { expiryPrefix, responseKey, toMinute } from '../atMostOnce/_lib/record.ts'
import { RECORD_RETENTION_MS } from '../atMostOnce/constants/index.ts'

/** Row with the last minute whose records were deleted. */
const CURSOR_KEY = 'once-sweep/cursor'

/** Maximum number of records deleted in one transaction. */
const DELETE_BATCH_SIZE = 100

/** Maximum number of minutes processed in one call, so that a long backlog does not overload the store. */
const MAX_MINUTES_PER_CALL = 10

/**
 * Deletes at-most-once records and their responses that are older than 24 h by the clock of the entry that wrote them.
 * Several processes may call it at the same time: a record and its listing are written and deleted in one transaction,
 * so a listed record is never a newer one, and deleting it again has no effect.
 *
 * @param table - Table service.
 * @param objects - Object store.
 * @param wallClockMs - Milliseconds since 1970.
 * @returns Number of records deleted. Stops early if the store fails, and continues from there in the next call.
 *
 * @example
 * await deleteExpiredRecords(platform.table, platform.objects, Date.now())
 */
export async function deleteExpiredRecords (table: Table, objects: ObjectStore, wallClockMs: number): Promise<number> {
  const last = toMinute(wallClockMs - RECORD_RETENTION_MS) - 1
  const cursor = await table.read(CURSOR_KEY)
  if (cursor.isLeft()) return 0
  const row = cursor.unsafeCoerce()
  // Without a cursor no record was ever deleted; the first listing shows the minute of the oldest records.
  let minute = (row?.value as { minute: number } | undefined)?.minute ?? await findStartMinute(table, last)
  const start = minute
  let removed = 0
  while (minute < last && minute - start < MAX_MINUTES_PER_CALL) {
    const count = await deleteMinute(table, objects, minute + 1)
    if (count === undefined) break
    removed += count
    minute++
  }
  if (minute > start) {
    await table.transact({
      checks: [{ key: CURSOR_KEY, version: row?.version ?? 0 }],
      writes: [{ kind: 'put', key: CURSOR_KEY, value: { minute } }]
    })
  }
  return removed
}

async function findStartMinute (table: Table, last: number): Promise<number> {
  const rows = (await table.scan('once-expiry/')).orDefault([])
  const [oldest] = rows
  return oldest === undefined ? last : Math.min(last, Number(oldest.key.split('/')[1]) - 1)
}

/** Deletes the records of one minute; undefined if the store failed. */
async function deleteMinute (table: Table, objects: ObjectStore, minute: number): Promise<number | undefined> {
  const prefix = expiryPrefix(minute)
  const listed = await table.scan(prefix)
  if (listed.isLeft()) return undefined
  const rows = listed.unsafeCoerce()
  for (let start = 0; start < rows.length; start += DELETE_BATCH_SIZE) {
    const batch = rows.slice(start, start + DELETE_BATCH_SIZE)
    const removed = await Promise.all(batch.map(async ({ key, value }) =>
      await objects.remove(responseKey(key.slice(prefix.length), (value as { nonce: string }).nonce))))
    if (removed.some((outcome) => outcome.isLeft())) return undefined
    const keys = batch.flatMap(({ key }) => [key, key.slice(prefix.length)])
    const deleted = await table.transact({
      // If a record was taken over in the meantime, it is listed under another minute and this listing is gone.
      checks: batch.map(({ key, version }) => ({ key, version })),
      writes: keys.map((key) => ({ kind: 'delete', key }))
    })
    if (deleted.isLeft()) return undefined
  }
  return rows.length
}
