import js from '@eslint/js';
import jsdoc from 'eslint-plugin-jsdoc';
import { defineConfig } from 'eslint/config';
import ts from 'typescript-eslint';

const ONE_LETTER_NAME =
  'Outside one-line arrow functions and loop counters, names are whole words.';

export default defineConfig(
  { ignores: ['**/target/**', 'node_modules/**', 'journal/**'] },
  js.configs.recommended,
  ts.configs.strictTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        projectService: { allowDefaultProject: ['eslint.config.js'] },
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        { selector: 'typeLike', format: ['PascalCase'] },
        { selector: 'function', format: ['camelCase'] },
        { selector: 'classMethod', format: ['camelCase'] },
        { selector: 'parameter', format: ['camelCase'], leadingUnderscore: 'allow' },
        {
          selector: 'variable',
          modifiers: ['const', 'global'],
          format: ['camelCase', 'UPPER_CASE'],
        },
        { selector: 'variable', modifiers: ['destructured'], format: null },
        { selector: 'variable', format: ['camelCase'], leadingUnderscore: 'allow' },
      ],
      'no-restricted-syntax': [
        'error',
        ...[
          'FunctionDeclaration > Identifier.params[name=/^.$/]',
          'MethodDefinition > FunctionExpression > Identifier.params[name=/^.$/]',
          'TSMethodSignature > Identifier.params[name=/^.$/]',
          'TSParameterProperty > Identifier[name=/^.$/]',
          'VariableDeclarator > Identifier.id[name=/^[^i]$/]',
        ].map((selector) => ({ selector, message: ONE_LETTER_NAME })),
      ],
      'object-shorthand': 'error',
      eqeqeq: 'error',
      'max-lines': ['error', 300],
      'max-lines-per-function': ['error', 50],
      complexity: ['error', 12],
    },
  },
  {
    files: ['src/**', 'packages/*/src/**'],
    plugins: { jsdoc },
    rules: {
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: { ClassDeclaration: true, FunctionDeclaration: true },
          contexts: [
            'TSInterfaceDeclaration',
            'TSTypeAliasDeclaration',
            'ExportNamedDeclaration > VariableDeclaration',
          ],
        },
      ],
    },
  },
  {
    files: ['test/**', 'packages/*/test/**'],
    rules: {
      // A value that is missing fails the test where it is used.
      '@typescript-eslint/no-non-null-assertion': 'off',
      // What callbacks change meanwhile, and picks from lists that may be empty, are not seen by the analysis.
      '@typescript-eslint/no-unnecessary-condition': 'off',
      '@typescript-eslint/no-floating-promises': [
        'error',
        { allowForKnownSafeCalls: [{ from: 'package', name: 'test', package: 'node:test' }] },
      ],
    },
  },
);
