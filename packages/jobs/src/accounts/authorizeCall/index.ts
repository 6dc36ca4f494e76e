import type { AccountDirectory } from '../AccountDirectory/index.ts'

/** Longest key that is looked up, in characters; the platform's keys have 20. */
const MAX_KEY_CHARACTERS = 200

const CREDENTIALS = /^token +(\S+)$/i

/** Why a call is not authorized. */
export type AuthorizationFailure = 'key-missing' | 'key-malformed' | 'key-unknown'

export type Authorization =
  /** `account` is undefined for calls that need no key and have none. */
  | { kind: 'authorized', account: string | undefined }
  | { kind: 'unauthorized', reason: AuthorizationFailure }

/**
 * Decides which client account a call belongs to. A call of a public queue needs no key, but a key that it has must be
 * known: a withdrawn one must not open a public queue to its former owner's account.
 *
 * @param accounts - Accounts of the configuration in force; undefined when the deployment has none.
 * @param isPublic - Whether the queue takes calls without a key.
 * @param credentials - Values of the call's `authorization` headers.
 * @returns The account, or why the call is not authorized.
 *
 * @example
 * authorizeCall(new AccountDirectory([{ name: 'a', keys: ['k1'], weight: 1, cap }]), false, ['Token k1'])
 * // { kind: 'authorized', account: 'a' }
 */
export function authorizeCall (
  accounts: AccountDirectory | undefined, isPublic: boolean, credentials: readonly string[]
): Authorization {
  if (accounts === undefined) return { kind: 'authorized', account: undefined }
  const [first] = credentials
  if (first === undefined) {
    return isPublic ? { kind: 'authorized', account: undefined } : { kind: 'unauthorized', reason: 'key-missing' }
  }
  const key = credentials.length === 1 && first.length <= MAX_KEY_CHARACTERS
    ? CREDENTIALS.exec(first.trim())?.[1]
    : undefined
  if (key === undefined) return { kind: 'unauthorized', reason: 'key-malformed' }
  const account = accounts.findByKey(key)
  return account === undefined
    ? { kind: 'unauthorized', reason: 'key-unknown' }
    : { kind: 'authorized', account: account.name }
}
