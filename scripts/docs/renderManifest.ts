import { Manifest } from '../../packages/protocol/src/manifest/index.ts'
import { describeConstraints, describeType, listFields } from './describeSchema.ts'
import { GENERATED_PAGE_NOTICE, renderTable } from './renderTable.ts'

/**
 * Renders the reference page of the manifest.
 *
 * @returns The page as Markdown.
 *
 * @example
 * renderManifest().startsWith('# Manifest')
 */
export function renderManifest (): string {
  const rows = listFields(Manifest).map(({ path, schema, isRequired }) => [
    `\`${path}\``,
    describeType(schema),
    describeConstraints(schema),
    schema.default === undefined ? '-' : `\`${String(schema.default)}\``,
    isRequired ? 'yes' : 'no',
    // The description of an identifier lists its characters, which the range column already shows; its title says what
    // it identifies.
    schema.title ?? schema.description ?? ''
  ])
  return [
    '# Manifest',
    '',
    GENERATED_PAGE_NOTICE,
    '',
    'A manifest is a YAML or JSON document. `gypsumctl check <file>` checks one without a server, `gypsumctl schema` prints',
    'its JSON Schema. Unknown fields are rejected. Beyond the schema, ids must be unique in their list and the team of a',
    'workload must be declared in the same manifest. A required field with a default may be omitted; it then has the default.',
    'In paths, `[]` stands for each item of a list.',
    '',
    ...renderTable([['path', 'type', 'range', 'default', 'required', 'meaning'], ...rows]),
    ''
  ].join('\n')
}
