#!/usr/bin/env node
/** The daemon: `gypsumspringd --role entry|scheduler` runs a role, `gypsumspringd check` only validates settings. */
import { cac } from 'cac'
import { createLogger } from './logging/index.ts'
import { runDaemon } from './runDaemon.ts'
import { describeSettings, environmentName, flagName, loadSettings, Settings } from './settings/index.ts'

/** Exit code for settings that are missing, unknown or out of range (EX_CONFIG of sysexits). */
const EXIT_INVALID_SETTINGS = 78

const cli = cac('gypsumspringd')
for (const [name, schema] of Object.entries(Settings.properties)) {
  const fallback = schema.default === undefined ? 'required' : `default ${schema.default}`
  cli.option(`--${flagName(name)} <value>`, `${schema.description} (${fallback}; ${environmentName(name)})`)
}
cli.command('', 'run a role').allowUnknownOptions().action(async (flags: Record<string, unknown>) => {
  const { settings, sources } = loadOrExit(flags)
  const logger = createLogger(settings)
  logger.info({ settings, sources }, 'process: settings loaded')
  await runDaemon(settings, logger)
})
cli.command('check', 'validate and print the settings without starting').allowUnknownOptions()
  .action((flags: Record<string, unknown>) => {
    process.stdout.write(describeSettings(loadOrExit(flags)))
  })
cli.help()

function loadOrExit (flags: Record<string, unknown>) {
  const { '--': _rest, ...named } = flags
  return loadSettings(named, process.env).caseOf({
    Left: (violations) => {
      for (const { path, value, allowed } of violations) process.stderr.write(`${path}: ${value}: ${allowed}\n`)
      process.exit(EXIT_INVALID_SETTINGS)
    },
    Right: (loaded) => loaded
  })
}

try {
  cli.parse(process.argv, { run: false })
  await cli.runMatchedCommand()
} catch (error) {
  process.stderr.write(`gypsumspringd: ${(error as Error).message}\n`)
  process.exit(1)
}
