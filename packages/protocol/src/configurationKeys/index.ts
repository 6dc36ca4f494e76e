/** Key of the table row that holds the `ConfigurationIndex`. */
export const CONFIGURATION_KEY = 'config/current'

/**
 * Returns the key of the object that holds a manifest as JSON.
 *
 * @param hash - Hexadecimal SHA-256 hash of the object, as in the index.
 * @returns The key in the object store.
 *
 * @example
 * manifestObjectKey('ab12') // => 'config/ab12'
 */
export function manifestObjectKey (hash: string): string {
  return `config/${hash}`
}
