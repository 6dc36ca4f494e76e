/** Notice at the top of each generated page. */
export const GENERATED_PAGE_NOTICE = '<!-- Generated from the schemas by `npm run docs`; change the schema, not this page. -->'

/**
 * Renders a Markdown table.
 *
 * @param rows - Cells of each row; the first row is the header.
 * @returns The lines of the table.
 *
 * @example
 * renderTable([['name'], ['a']]) // => ['| name |', '| --- |', '| a |']
 */
export function renderTable (rows: string[][]): string[] {
  const [header = [], ...body] = rows.map((row) => row.map((cell) => cell.replaceAll('|', '\\|')))
  return [header, header.map(() => '---'), ...body].map((row) => `| ${row.join(' | ')} |`)
}
