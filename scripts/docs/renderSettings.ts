import { environmentName, flagName, Settings } from '../../packages/daemon/src/settings/index.ts'
import { describeRange, describeType } from './describeSchema.ts'
import { NOTICE, renderTable } from './renderTable.ts'

/**
 * Renders the reference page of the daemon's settings.
 *
 * @returns The page as Markdown.
 *
 * @example
 * renderSettings().startsWith('# Settings')
 */
export function renderSettings (): string {
  const rows = Object.entries(Settings.properties).map(([name, schema]) => [
    `\`--${flagName(name)}\``,
    `\`${environmentName(name)}\``,
    [describeType(schema), describeRange(schema)].filter((part) => part !== '').join(', '),
    schema.default === undefined ? 'required' : `\`${String(schema.default)}\``,
    unitOf(name),
    schema.description ?? ''
  ])
  return [
    '# Settings of gypsumspringd',
    '',
    NOTICE,
    '',
    'A flag goes before an environment variable, which goes before the default. Unknown flags, and unknown variables that',
    'start with `GYPSUMSPRING_`, are rejected. `gypsumspringd check` prints the settings in effect with the source of each',
    'and starts nothing. Settings that are not valid end the process with exit code 78; each violation is one line on',
    'standard error.',
    '',
    ...renderTable([['flag', 'variable', 'type and range', 'default', 'unit', 'meaning'], ...rows]),
    ''
  ].join('\n')
}

/** Names of durations end in `Ms`. */
function unitOf (name: string): string {
  return name.endsWith('Ms') ? 'ms' : '-'
}
