/**
 * Parses the address of a machine.
 *
 * @param address - Host with or without a port, as a list of machines has it.
 * @returns The origin of its HTTP interface, or undefined if no connection can be opened to the address.
 *
 * @example
 * parseOrigin('127.0.0.1:8100') // 'http://127.0.0.1:8100'
 * parseOrigin('127.0.0.1:99999') // undefined
 */
export function parseOrigin (address: string): string | undefined {
  const url = `http://${address}`
  return !URL.canParse(url) || new URL(url).origin === 'null' || /[/@?#]/.test(address) ? undefined : url
}
