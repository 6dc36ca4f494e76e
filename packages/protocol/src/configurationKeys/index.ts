/** Table row with the `ConfigurationIndex`. */
export const CONFIGURATION_KEY = 'config/current'

/**
 * Names the object that holds a manifest as JSON.
 *
 * @param hash - SHA-256 of the object's bytes in hexadecimal, as in the index.
 * @returns Key in the object store.
 *
 * @example
 * manifestObjectKey('ab12') // => 'config/ab12'
 */
export function manifestObjectKey (hash: string): string {
  return `config/${hash}`
}
