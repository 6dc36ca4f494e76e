import type { LoadedSettings } from './loadSettings.ts'
import { environmentName, flagName, type SettingName } from './schema.ts'

/**
 * Renders the effective settings for an operator.
 *
 * @param loaded - Settings with their sources.
 * @returns One line per setting with flag, value and source.
 *
 * @example
 * describeSettings(loaded) // => '--role entry (flag)\n...'
 */
export function describeSettings ({ settings, sources }: LoadedSettings): string {
  const lines = Object.entries(settings).map(([name, value]) => {
    const source = sources[name as SettingName]
    return `--${flagName(name)} ${value} (${source === 'environment' ? environmentName(name) : source})`
  })
  return `${lines.join('\n')}\n`
}
